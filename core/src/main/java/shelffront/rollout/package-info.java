/**
 * Rollouts: changes that all gateways of a fleet make together, stage by stage. At any time at most
 * two adjacent stages are in force across all gateways, and a gateway that is partitioned, paused
 * or restarted falls back to a safe stage without help.
 *
 * <p>The coordination store (a key-value store with check-and-set) holds two kinds of keys: the
 * {@link shelffront.rollout.RolloutState} of a subject (a change that is rolled out in stages), and
 * a {@link shelffront.rollout.Member} for each gateway that may act on it. {@link
 * shelffront.rollout.LeaseHolder} is the state machine of a gateway, and {@link
 * shelffront.rollout.RolloutLeader} decides when a subject advances. Both are immutable values: an
 * event returns the next value. This package does no I/O and reads no clock. Times are microseconds
 * of the caller's own monotonic clock; the clocks of different callers are never compared.
 *
 * <p>Safety argument. A gateway acts on a state only while it is a member with a valid lease. The
 * lease starts when the gateway sent the renewing write, hence before the store applied that write.
 * The leader advances a subject only by check-and-set on the state that it read before it read the
 * members, and only if each member has acknowledged that state or was revoked for longer than any
 * lease can last. A gateway joins before it reads the state that it adopts, so the leader's next
 * read finds it. Every gateway that acts therefore has the stored state or its predecessor, and
 * those differ by one stage. Revocation is a check-and-set too, so a later renewal fails. The key
 * of a revoked member stays until the waiting time has passed, so a leader that takes over in
 * between waits for the full time too.
 *
 * <p>References: leases (Gray and Cheriton, SOSP 1989), two adjacent schema versions under leases
 * (Rae et al., <i>Online, Asynchronous Schema Change in F1</i>, VLDB 2013), fencing tokens
 * (Kleppmann, 2016).
 */
package shelffront.rollout;

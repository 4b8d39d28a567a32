/**
 * Rollouts: something that all gateways of a fleet change together, stage by stage. At most two
 * neighbouring stages are in force at any time over all gateways, and whoever was cut off, paused
 * or restarted falls back to a safe stage by itself.
 *
 * <p>The coordination store (a store with check-and-set) keeps two kinds of keys: a subject's
 * {@link shelffront.rollout.RolloutState}, and a {@link shelffront.rollout.Member} for each gateway
 * that may act on it. {@link shelffront.rollout.LeaseHolder} is a gateway's side, {@link
 * shelffront.rollout.RolloutLeader} decides when a subject advances. Both are values: an event
 * gives the next value, and nothing here does input or output or reads a clock. Times are
 * microseconds of the caller's own monotonic clock; no two callers' clocks are compared.
 *
 * <p>Why it is safe. A gateway acts on a state only while it is a member with a lease. Its lease
 * runs from when it sent the write that renewed it, so it began before the store took that write.
 * The leader advances a subject only by check-and-set on the state that it read before it read the
 * members, and only where each of them has acknowledged that state or was revoked for longer than
 * any lease can last. A gateway joins before it reads the state that it takes up, so the leader's
 * next read finds it. Hence whoever is in force has the state of the store or the one before it,
 * and neighbours differ by one stage. Revoking is a check-and-set too: a renewal that comes after
 * it fails. A revoked member's key stays until it has been seen for long enough, so that a leader
 * that takes over in the middle waits as long as the one before it.
 *
 * <p>Published ground: leases (Gray and Cheriton, SOSP 1989), two adjacent schema versions under
 * leases (Rae et al., <i>Online, Asynchronous Schema Change in F1</i>, VLDB 2013), fencing tokens
 * (Kleppmann, 2016).
 */
package shelffront.rollout;

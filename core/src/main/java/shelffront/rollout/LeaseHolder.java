package shelffront.rollout;

import java.util.EnumSet;
import java.util.Set;

/**
 * The state machine of one gateway for one subject. It decides whether the gateway may act, under
 * which rollout state, and which request the coordination store has to receive next.
 *
 * <p>Invariants: the gateway acts only while it holds a lease, and a lease starts when the write
 * that renewed it was sent. A rollout state is adopted only while the gateway is a member, only if
 * it was read in the current term, and only if its epoch is not lower than that of the current
 * state. An epoch is acknowledged only once no operation of this gateway is open under an older
 * epoch.
 *
 * <p>Immutable: each event returns the next value, so any thread may read one. The caller keeps at
 * most one write or read of the member key in flight. Reads of the rollout state may overlap, and
 * their responses may be late or duplicated; each names the term in which it was sent. Times are
 * microseconds of the gateway's own monotonic clock.
 */
public final class LeaseHolder {

  /** A request to the coordination store. */
  public sealed interface Action {}

  /** Check-and-set of the member key; an expected index of 0 means that the key must not exist. */
  public record Write(long expectedIndex, Member member) implements Action {}

  /** Read of the member key, needed when the outcome of a write is unknown. */
  public record ReadOwnKey() implements Action {}

  private static final int FIRST_TERM = 1;
  private static final long NEVER = Long.MIN_VALUE;

  /**
   * The last known content of the member key.
   *
   * @param term incremented each time the gateway has to rejoin
   * @param keyIndex the index of the key, or 0 before the gateway has joined
   * @param acknowledgedEpoch the epoch stored in the key
   * @param isUncertain whether a write with an unknown outcome may have changed the key
   */
  private record Membership(int term, long keyIndex, long acknowledgedEpoch, boolean isUncertain) {

    static Membership notJoined(int term) {
      return new Membership(term, 0, 0, false);
    }

    boolean isJoined() {
      return keyIndex != 0;
    }

    Membership atKey(long newIndex, long epoch) {
      return new Membership(term, newIndex, epoch, false);
    }

    Membership asUncertain() {
      return new Membership(term, keyIndex, acknowledgedEpoch, true);
    }
  }

  /**
   * The adopted rollout state and the validity of the lease on it.
   *
   * @param state the adopted state, or null if none has been adopted
   */
  private record Lease(RolloutState state, long expiresAtMicros, long renewAtMicros) {

    static Lease none(long renewAtMicros) {
      return new Lease(null, NEVER, renewAtMicros);
    }

    Lease renewed(long newExpiryMicros, long newRenewAtMicros) {
      return new Lease(state, Math.max(expiresAtMicros, newExpiryMicros), newRenewAtMicros);
    }

    Lease withRenewAt(long newRenewAtMicros) {
      return new Lease(state, expiresAtMicros, newRenewAtMicros);
    }

    Lease withState(RolloutState newState) {
      return new Lease(newState, expiresAtMicros, renewAtMicros);
    }
  }

  private final LeaseTimings timings;
  private final Set<SafetyRule> disabledRules;
  private final Membership membership;
  private final Lease lease;

  private LeaseHolder(
      LeaseTimings timings, Set<SafetyRule> disabledRules, Membership membership, Lease lease) {
    this.timings = timings;
    this.disabledRules = disabledRules;
    this.membership = membership;
    this.lease = lease;
  }

  private LeaseHolder with(Membership newMembership, Lease newLease) {
    return new LeaseHolder(timings, disabledRules, newMembership, newLease);
  }

  /** Returns a holder that has not joined. */
  public static LeaseHolder notJoined(LeaseTimings timings) {
    return notJoined(timings, EnumSet.noneOf(SafetyRule.class));
  }

  static LeaseHolder notJoined(LeaseTimings timings, Set<SafetyRule> disabledRules) {
    return new LeaseHolder(
        timings, disabledRules, Membership.notJoined(FIRST_TERM), Lease.none(NEVER));
  }

  /** Returns the term, which is part of the member key and is incremented on each rejoin. */
  public int term() {
    return membership.term();
  }

  /** Returns whether the gateway is a member according to its last known member key. */
  public boolean isMember() {
    return membership.isJoined();
  }

  /** Returns the last known index of the member key, or 0 before the gateway has joined. */
  public long keyIndex() {
    return membership.keyIndex();
  }

  /** Returns the state under which the gateway may act, or null if it is in the safe stage. */
  public RolloutState inForce(long nowMicros) {
    return nowMicros < lease.expiresAtMicros() || isDisabled(SafetyRule.LEASE)
        ? lease.state()
        : null;
  }

  /** Returns when the lease expires unless it is renewed. */
  public long leaseExpiresAtMicros() {
    return lease.expiresAtMicros();
  }

  /**
   * Returns the request that is due now, or null if none is due before {@link #nextActionAtMicros}.
   *
   * @param oldestOpenEpoch the oldest epoch under which an operation of this gateway is open, or
   *     {@link Long#MAX_VALUE} if none is open
   */
  public Action nextAction(long nowMicros, long oldestOpenEpoch) {
    if (membership.isUncertain()) {
      return new ReadOwnKey();
    }
    long epoch = epochToAcknowledge(oldestOpenEpoch);
    boolean isWriteDue =
        !membership.isJoined()
            || epoch > membership.acknowledgedEpoch()
            || nowMicros >= lease.renewAtMicros();
    return isWriteDue ? new Write(membership.keyIndex(), new Member(epoch, false)) : null;
  }

  /** The epoch of the adopted state once no older operation is open, else the previous one. */
  private long epochToAcknowledge(long oldestOpenEpoch) {
    RolloutState state = lease.state();
    boolean mayAcknowledge =
        state != null
            && (oldestOpenEpoch >= state.epoch() || isDisabled(SafetyRule.NO_OLDER_OPERATION));
    return mayAcknowledge ? state.epoch() : membership.acknowledgedEpoch();
  }

  /**
   * Returns when {@link #nextAction} has to be called again if no event other than the end of
   * operations occurs before.
   */
  public long nextActionAtMicros() {
    return lease.renewAtMicros();
  }

  /** Returns whether the next acknowledgement waits for operations under an older epoch. */
  public boolean waitsForOpenOperations() {
    return membership.isJoined()
        && lease.state() != null
        && lease.state().epoch() > membership.acknowledgedEpoch();
  }

  /**
   * Handles the response to a write.
   *
   * @param sentAtMicros when the write was sent, which is when the renewed lease starts
   * @param succeeded whether the check-and-set succeeded
   * @param newIndex the new index of the member key if the check-and-set succeeded
   */
  public LeaseHolder onWriteResponse(
      long sentAtMicros, long nowMicros, Write write, boolean succeeded, long newIndex) {
    if (!succeeded) {
      return onWriteOutcomeUnknown(nowMicros);
    }
    long leaseStartMicros = isDisabled(SafetyRule.LEASE_FROM_SEND) ? nowMicros : sentAtMicros;
    return with(
        membership.atKey(newIndex, write.member().epoch()),
        lease.renewed(
            leaseStartMicros + timings.leaseMicros(),
            leaseStartMicros + timings.renewIntervalMicros()));
  }

  /** Handles a write with an unknown outcome, after which the member key has to be read. */
  public LeaseHolder onWriteOutcomeUnknown(long nowMicros) {
    return with(
        membership.asUncertain(), lease.withRenewAt(nowMicros + timings.renewIntervalMicros()));
  }

  /**
   * Handles a read of the member key. A removed or revoked key ends the membership; the gateway
   * then rejoins under the next term.
   *
   * @param member the member, or null if the key does not exist
   * @param keyIndex the index of the key if it exists
   */
  public LeaseHolder onOwnKeyRead(long nowMicros, Member member, long keyIndex) {
    if (member == null && !membership.isJoined()) {
      return with(Membership.notJoined(membership.term()), lease.withRenewAt(nowMicros));
    }
    if (member == null || member.revoked()) {
      return with(Membership.notJoined(membership.term() + 1), Lease.none(nowMicros));
    }
    return with(membership.atKey(keyIndex, member.epoch()), lease.withRenewAt(nowMicros));
  }

  /**
   * Handles a read of the rollout state.
   *
   * @param readTerm the term in which the read was sent; the gateway was a member then
   */
  public LeaseHolder onStateRead(int readTerm, RolloutState state) {
    return wasReadAsMember(readTerm) && isNotOlder(state)
        ? with(membership, lease.withState(state))
        : this;
  }

  /**
   * A state read before joining may be older than the state at which the leader first found this
   * member.
   */
  private boolean wasReadAsMember(int readTerm) {
    return readTerm == membership.term() && membership.isJoined()
        || isDisabled(SafetyRule.JOIN_BEFORE_READ);
  }

  private boolean isNotOlder(RolloutState state) {
    return lease.state() == null
        || state.epoch() >= lease.state().epoch()
        || isDisabled(SafetyRule.EPOCH_NEVER_DECREASES);
  }

  private boolean isDisabled(SafetyRule rule) {
    return disabledRules.contains(rule);
  }

  /**
   * Encodes all state that affects future behaviour, with times relative to now. Holders with equal
   * fingerprints behave identically.
   */
  String fingerprint(long nowMicros) {
    long toRenewalMicros = lease.renewAtMicros() - nowMicros;
    return membership.term()
        + ","
        + membership.keyIndex()
        + ","
        + membership.acknowledgedEpoch()
        + (membership.isUncertain() ? "?" : ".")
        + lease.state()
        + Math.max(0, lease.expiresAtMicros() - nowMicros)
        + (nowMicros >= lease.renewAtMicros() ? "!" : "w" + toRenewalMicros);
  }
}

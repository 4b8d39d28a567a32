package shelffront.rollout;

import java.util.EnumSet;
import java.util.Set;

/**
 * A gateway's side of one subject: whether it may act, under which state, and what it has to write
 * to the coordination store.
 *
 * <p>Invariants: it acts only under a lease, and a lease runs from when the write that renewed it
 * was sent. It takes up a state only as a member, only one that was read in its present term, and
 * none older than the one it has. It acknowledges an epoch only once nothing of it is open under an
 * older one.
 *
 * <p>A value: each event gives the next one, so any thread may read it. Whoever drives it has one
 * write or read of its own key out at a time; reads of the state may overlap and come late or
 * doubled, and name the term in which they were sent. Times are microseconds of the holder's own
 * monotonic clock.
 */
public final class LeaseHolder {

  /** What it wants done at the coordination store. */
  public sealed interface Action {}

  /** Write this to its key where the key has that index; index 0: where there is none. */
  public record Write(long expectedIndex, Member member) implements Action {}

  /** Read its own key: what became of a write is not known. */
  public record ReadOwnKey() implements Action {}

  private static final int FIRST_TERM = 1;
  private static final long NEVER = Long.MIN_VALUE;

  /**
   * Its key as far as it knows.
   *
   * @param term grows each time that it has to join anew
   * @param keyIndex 0 before it has joined
   * @param acknowledgedEpoch what its key says
   * @param isUncertain whether a write may have changed the key
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
   * What it may act under, and until when.
   *
   * @param state null where it has taken up none
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

  /** One that is no member yet. */
  public static LeaseHolder absent(LeaseTimings timings) {
    return absent(timings, EnumSet.noneOf(SafetyRule.class));
  }

  static LeaseHolder absent(LeaseTimings timings, Set<SafetyRule> disabledRules) {
    return new LeaseHolder(
        timings, disabledRules, Membership.notJoined(FIRST_TERM), Lease.none(NEVER));
  }

  /** Grows each time that it has to join anew; its key is named by it. */
  public int term() {
    return membership.term();
  }

  /** Whether it is a member, as far as it knows. */
  public boolean isMember() {
    return membership.isJoined();
  }

  /** The index of its key as last known; 0 before it has joined. */
  public long index() {
    return membership.keyIndex();
  }

  /** What it may act under; null: it is in the safe stage. */
  public RolloutState inForce(long nowMicros) {
    return nowMicros < lease.expiresAtMicros() || isDisabled(SafetyRule.LEASE)
        ? lease.state()
        : null;
  }

  /** When what is in force lapses unless it is renewed. */
  public long leaseUntil() {
    return lease.expiresAtMicros();
  }

  /**
   * What it wants done now; null: nothing before {@link #wakeAt}.
   *
   * @param oldestOpenEpoch the oldest epoch under which an operation of it is open; the greatest
   *     number where none is
   */
  public Action nextAction(long nowMicros, long oldestOpenEpoch) {
    if (membership.isUncertain()) {
      return new ReadOwnKey();
    }
    long epoch = epochToAcknowledge(oldestOpenEpoch);
    boolean hasToWrite =
        !membership.isJoined()
            || epoch > membership.acknowledgedEpoch()
            || nowMicros >= lease.renewAtMicros();
    return hasToWrite ? new Write(membership.keyIndex(), new Member(epoch, false)) : null;
  }

  /** That of the state it has, once nothing is open under an older one; else the one before. */
  private long epochToAcknowledge(long oldestOpenEpoch) {
    RolloutState state = lease.state();
    boolean isQuiet =
        state != null && (oldestOpenEpoch >= state.epoch() || isDisabled(SafetyRule.QUIET));
    return isQuiet ? state.epoch() : membership.acknowledgedEpoch();
  }

  /**
   * When it has to be asked again for an action, if nothing happens before but the end of
   * operations.
   */
  public long wakeAt() {
    return lease.renewAtMicros();
  }

  /** Whether it waits for operations under an older epoch before it acknowledges what it has. */
  public boolean waitsForOpenOperations() {
    return membership.isJoined()
        && lease.state() != null
        && lease.state().epoch() > membership.acknowledgedEpoch();
  }

  /**
   * A write was answered.
   *
   * @param sentAtMicros when it was sent: the lease runs from there
   * @param newIndex of its key, where the write was taken
   */
  public LeaseHolder onWriteAnswered(
      long sentAtMicros, long nowMicros, Write write, boolean taken, long newIndex) {
    if (!taken) {
      return onWriteUnknown(nowMicros);
    }
    long fromMicros = isDisabled(SafetyRule.LEASE_FROM_SEND) ? nowMicros : sentAtMicros;
    return with(
        membership.atKey(newIndex, write.member().epoch()),
        lease.renewed(
            fromMicros + timings.leaseMicros(), fromMicros + timings.renewIntervalMicros()));
  }

  /** No answer came, or one that does not say: its key has to be read. */
  public LeaseHolder onWriteUnknown(long nowMicros) {
    return with(
        membership.asUncertain(), lease.withRenewAt(nowMicros + timings.renewIntervalMicros()));
  }

  /**
   * Its own key was read. One that is gone or revoked ends the membership: it joins anew, under the
   * next term.
   *
   * @param member null where there is no such key
   * @param keyIndex of the key, where there is one
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
   * The subject's state was read.
   *
   * @param readTerm the term in which the read was sent, while it was a member
   */
  public LeaseHolder onStateRead(int readTerm, RolloutState state) {
    return wasReadAsMember(readTerm) && isNotOlder(state)
        ? with(membership, lease.withState(state))
        : this;
  }

  /** What was read before it joined may be older than what the leader has counted it for. */
  private boolean wasReadAsMember(int readTerm) {
    return readTerm == membership.term() && membership.isJoined()
        || isDisabled(SafetyRule.JOIN_FIRST);
  }

  private boolean isNotOlder(RolloutState state) {
    return lease.state() == null
        || state.epoch() >= lease.state().epoch()
        || isDisabled(SafetyRule.EPOCH);
  }

  private boolean isDisabled(SafetyRule rule) {
    return disabledRules.contains(rule);
  }

  /**
   * Everything that its behaviour depends on, with times relative to now: equal texts behave alike.
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

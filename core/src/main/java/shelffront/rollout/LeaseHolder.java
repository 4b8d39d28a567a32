package shelffront.rollout;

import java.util.EnumSet;
import java.util.Set;

/**
 * A gateway's side of one subject: whether it may act, under which standing, and what it has to
 * write. A value; the methods give the next one. Whoever drives it has one write or look at its own
 * key out at a time; reads of the standing may overlap and come late or doubled, and name the term
 * in which they were sent.
 */
public final class LeaseHolder {

  /** What it wants done at the engine. */
  public sealed interface Action {}

  /** Put this at its key where the key has that index; index 0: where there is none. */
  public record Write(long expectedIndex, Member member) implements Action {}

  /** Read its own key: what became of a write is not known. */
  public record ReadOwnKey() implements Action {}

  private final LeaseTimings bounds;
  private final Set<SafetyRule> off;
  private final int term;
  private final long index; // of its key; 0 before it has joined
  private final long acknowledged;
  private final boolean unsure; // of its key
  private final RolloutState held;
  private final long leaseUntil;
  private final long renewAt;

  private LeaseHolder(
      LeaseTimings bounds,
      Set<SafetyRule> off,
      int term,
      long index,
      long acknowledged,
      boolean unsure,
      RolloutState held,
      long leaseUntil,
      long renewAt) {
    this.bounds = bounds;
    this.off = off;
    this.term = term;
    this.index = index;
    this.acknowledged = acknowledged;
    this.unsure = unsure;
    this.held = held;
    this.leaseUntil = leaseUntil;
    this.renewAt = renewAt;
  }

  /** One that is no member yet. */
  public static LeaseHolder absent(LeaseTimings bounds) {
    return absent(bounds, EnumSet.noneOf(SafetyRule.class));
  }

  static LeaseHolder absent(LeaseTimings bounds, Set<SafetyRule> off) {
    return new LeaseHolder(bounds, off, 1, 0, 0, false, null, Long.MIN_VALUE, Long.MIN_VALUE);
  }

  /** Grows each time that it has to join anew; its key is named by it. */
  public int term() {
    return term;
  }

  /** Whether it is a member, as far as it knows. */
  public boolean isMember() {
    return index != 0;
  }

  /** The index of its key as last heard. */
  public long index() {
    return index;
  }

  /** What it acts under; null: it is in the safe stage. */
  public RolloutState inForce(long now) {
    return now < leaseUntil || off.contains(SafetyRule.LEASE) ? held : null;
  }

  /** When what is in force lapses unless it is renewed. */
  public long leaseUntil() {
    return leaseUntil;
  }

  /**
   * What it wants done now; null: nothing before {@link #wakeAt}.
   *
   * @param oldestOpen the oldest epoch under which anything of it still acts; the greatest number
   *     where nothing does
   */
  public Action nextAction(long now, long oldestOpen) {
    if (unsure) {
      return new ReadOwnKey();
    }
    boolean quiet = held != null && (oldestOpen >= held.epoch() || off.contains(SafetyRule.QUIET));
    long epoch = quiet ? held.epoch() : acknowledged;
    return index == 0 || epoch > acknowledged || now >= renewAt
        ? new Write(index, new Member(epoch, false))
        : null;
  }

  /** When it has to be asked again for a action, if nothing happens before but the end of acts. */
  public long wakeAt() {
    return renewAt;
  }

  /** Whether it waits for acts under an older epoch to end before it acknowledges what it has. */
  public boolean waitsForOpenOperations() {
    return index != 0 && held != null && held.epoch() > acknowledged;
  }

  /**
   * A write was answered.
   *
   * @param sentAt when it was sent: its lease runs from there
   * @param newIndex of its key, where it was taken
   */
  public LeaseHolder onWriteAnswered(
      long sentAt, long now, Write write, boolean taken, long newIndex) {
    if (!taken) {
      return onWriteUnknown(now);
    }
    long from = off.contains(SafetyRule.LEASE_FROM_SEND) ? now : sentAt;
    return new LeaseHolder(
        bounds,
        off,
        term,
        newIndex,
        write.member().epoch(),
        false,
        held,
        Math.max(leaseUntil, from + bounds.leaseMicros()),
        from + bounds.renewIntervalMicros());
  }

  /** No answer came, or one that does not say: its key has to be looked at. */
  public LeaseHolder onWriteUnknown(long now) {
    return new LeaseHolder(
        bounds,
        off,
        term,
        index,
        acknowledged,
        true,
        held,
        leaseUntil,
        now + bounds.renewIntervalMicros());
  }

  /** Its own key was read; null: there is none. */
  public LeaseHolder onOwnKeyRead(long now, Member member, long at) {
    if (member == null && index == 0) {
      return new LeaseHolder(bounds, off, term, 0, 0, false, held, leaseUntil, now);
    }
    if (member == null || member.revoked()) {
      return new LeaseHolder(bounds, off, term + 1, 0, 0, false, null, Long.MIN_VALUE, now);
    }
    return new LeaseHolder(bounds, off, term, at, member.epoch(), false, held, leaseUntil, now);
  }

  /**
   * The subject's standing was read, by a read that was sent in this term while it was a member.
   */
  public LeaseHolder onStateRead(int readTerm, RolloutState standing) {
    boolean fits = readTerm == term && index != 0 || off.contains(SafetyRule.JOIN_FIRST);
    if (!fits
        || held != null && standing.epoch() < held.epoch() && !off.contains(SafetyRule.EPOCH)) {
      return this;
    }
    return new LeaseHolder(
        bounds, off, term, index, acknowledged, unsure, standing, leaseUntil, renewAt);
  }

  /**
   * Everything that its behaviour depends on, with times relative to now: equal texts behave alike.
   */
  String shape(long now) {
    return term
        + ","
        + index
        + ","
        + acknowledged
        + (unsure ? "?" : ".")
        + held
        + Math.max(0, leaseUntil - now)
        + (now >= renewAt ? "!" : "w" + (renewAt - now));
  }
}

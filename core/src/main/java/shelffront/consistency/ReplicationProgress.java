package shelffront.consistency;

import static shelffront.routing.Router.UNKNOWN;

/**
 * How far a replica has applied the log, as known from afar. Times and positions are microseconds
 * on one clock.
 */
public final class ReplicationProgress {

  /**
   * After this a replica is probed again if reads want it, and one that turned a read away is tried
   * again.
   */
  public static final long OLD = 200_000;

  /** That a replica which refuses what it lacks keeps its pace. */
  private static final long TRUST = 20_000_000;

  private long position = UNKNOWN; // applied up to here; only moves forward
  private long heardAt = UNKNOWN; // when that position was heard
  private long missedAt = UNKNOWN; // when it turned a read away as too recent

  public long lastReportedAt() {
    return heardAt;
  }

  /** Takes a position told now; one that lies ahead of the clock tells nothing. */
  public void advance(long now, long told) {
    if (told <= now && told > position) {
      position = told;
      heardAt = now;
    }
  }

  /** It turned a read away. */
  public void recordRejectedRead(long now) {
    missedAt = now;
  }

  /** It answered a read that needed this position when it was sent. */
  public void recordProvenPosition(long sentAt, long need) {
    if (need > position) {
      long lag = position == UNKNOWN ? sentAt : heardAt - position;
      heardAt = Math.min(sentAt, need + lag);
      position = need;
    }
  }

  /** Whether it is known to have a position. */
  public boolean hasApplied(long need) {
    return position >= need;
  }

  /**
   * Whether it may be trusted to have a position. The record trails reality: one that refuses what
   * it lacks is taken to have kept the pace it had when last heard; a read that it turned away
   * disproves that until news come.
   *
   * @param patience how long it waits for what it lacks before it refuses
   */
  public boolean mayHaveApplied(long now, long need, long patience) {
    boolean disproved = missedAt >= heardAt && missedAt > now - OLD;
    return hasApplied(need)
        || position != UNKNOWN
            && !disproved
            && heardAt > now - TRUST
            && position + (now - heardAt) + patience >= need;
  }

  /**
   * Whether a probe may tell something new.
   *
   * @param wanted whether it lives is what is asked, so that what was heard of its position does
   *     not count
   */
  public boolean isHealthCheckDue(long now, long probedAt, boolean wanted) {
    long last = Math.max(probedAt, wanted ? UNKNOWN : heardAt);
    return now - last > (wanted ? OLD / 2 : healthCheckIntervalMicros());
  }

  /**
   * Time after the last word, or question, from which a probe may tell something new: one that was
   * far behind is so for a while, for it catches up no faster than it applies.
   */
  public long healthCheckIntervalMicros() {
    return Math.max(OLD / 2, position == UNKNOWN ? 0 : (heardAt - position) / 4);
  }
}

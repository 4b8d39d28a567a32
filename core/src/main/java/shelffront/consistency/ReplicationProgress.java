package shelffront.consistency;

import static shelffront.routing.Router.UNKNOWN;

/**
 * How far a replica has applied the log, as known from its reports and answers. Times and positions
 * are microseconds on one clock.
 *
 * <p>Invariants: the position never moves back, and never lies ahead of the clock. Not safe for use
 * by several threads.
 */
public final class ReplicationProgress {

  /**
   * After this time a replica is health-checked again if reads want it, and one that rejected a
   * read is tried again.
   */
  public static final long STALE_AFTER_MICROS = 200_000;

  /** How long a replica that checks its lag is trusted to keep the pace it had. */
  private static final long MAX_EXTRAPOLATION_MICROS = 20_000_000;

  /** Least time between two health checks. */
  private static final long MIN_CHECK_INTERVAL_MICROS = STALE_AFTER_MICROS / 2;

  /** Part of its lag, as a divisor, after which a lagging replica is checked again. */
  private static final int LAG_PER_CHECK_INTERVAL = 4;

  private long positionMicros = UNKNOWN;
  private long reportedAtMicros = UNKNOWN;
  private long rejectedReadAtMicros = UNKNOWN;

  /** When the position was reported that is known now; {@code UNKNOWN} before the first. */
  public long lastReportedAt() {
    return reportedAtMicros;
  }

  /** Takes in a position reported now; one that lies ahead of the clock tells nothing. */
  public void advance(long nowMicros, long reportedMicros) {
    if (reportedMicros <= nowMicros && reportedMicros > positionMicros) {
      positionMicros = reportedMicros;
      reportedAtMicros = nowMicros;
    }
  }

  /** The replica rejected a read as too recent. */
  public void recordRejectedRead(long nowMicros) {
    rejectedReadAtMicros = nowMicros;
  }

  /**
   * The replica answered a read that required this position when it was sent. The lag that was last
   * reported is kept, so that its pace is not taken to be better than that.
   */
  public void recordProvenPosition(long sentAtMicros, long requiredMicros) {
    if (requiredMicros > positionMicros) {
      long lagMicros = positionMicros == UNKNOWN ? sentAtMicros : reportedAtMicros - positionMicros;
      reportedAtMicros = Math.min(sentAtMicros, requiredMicros + lagMicros);
      positionMicros = requiredMicros;
    }
  }

  /** Whether it is known to have applied a position. */
  public boolean hasApplied(long requiredMicros) {
    return positionMicros >= requiredMicros;
  }

  /**
   * Whether it may be trusted to have applied a position. The record trails reality: a replica that
   * checks its lag is taken to have kept the pace it had when last reported; a read that it
   * rejected disproves that until the next report.
   *
   * @param toleratedLagMicros how long the replica waits for what it lacks before it rejects
   */
  public boolean mayHaveApplied(long nowMicros, long requiredMicros, long toleratedLagMicros) {
    return hasApplied(requiredMicros)
        || positionMicros != UNKNOWN
            && !isPaceDisproved(nowMicros)
            && reportedAtMicros > nowMicros - MAX_EXTRAPOLATION_MICROS
            && positionMicros + (nowMicros - reportedAtMicros) + toleratedLagMicros
                >= requiredMicros;
  }

  private boolean isPaceDisproved(long nowMicros) {
    return rejectedReadAtMicros >= reportedAtMicros
        && rejectedReadAtMicros > nowMicros - STALE_AFTER_MICROS;
  }

  /**
   * Whether a health check may tell something new.
   *
   * @param checkedAtMicros when the last one was sent
   * @param livenessWanted whether the question is if the host lives, so that what was reported of
   *     its position does not count
   */
  public boolean isHealthCheckDue(long nowMicros, long checkedAtMicros, boolean livenessWanted) {
    if (livenessWanted) {
      return nowMicros - checkedAtMicros > MIN_CHECK_INTERVAL_MICROS;
    }
    return nowMicros - Math.max(checkedAtMicros, reportedAtMicros) > healthCheckIntervalMicros();
  }

  /**
   * Time after the last report or health check from which another may tell something new: a replica
   * that was far behind is so for a while, for it catches up no faster than it applies.
   */
  public long healthCheckIntervalMicros() {
    long lagMicros = positionMicros == UNKNOWN ? 0 : reportedAtMicros - positionMicros;
    return Math.max(MIN_CHECK_INTERVAL_MICROS, lagMicros / LAG_PER_CHECK_INTERVAL);
  }
}

package shelffront.consistency;

import static shelffront.routing.Router.UNKNOWN;

/**
 * Tracks how far a replica has applied the replication log, based on its load reports and
 * responses. Times and positions are microseconds on one clock.
 *
 * <p>Invariants: the position never decreases and is never ahead of the clock. Not thread-safe.
 */
public final class ReplicationProgress {

  /**
   * Time after which a replica is health-checked again if reads need it, and after which a replica
   * that rejected a read is tried again.
   */
  public static final long STALE_AFTER_MICROS = 200_000;

  /** Time after a report during which the lag of a replica is assumed to be unchanged. */
  private static final long MAX_EXTRAPOLATION_MICROS = 20_000_000;

  /** Minimum time between two health checks. */
  private static final long MIN_CHECK_INTERVAL_MICROS = STALE_AFTER_MICROS / 2;

  /** Ratio of the lag of a replica to the interval of its health checks. */
  private static final int LAG_TO_CHECK_INTERVAL_RATIO = 4;

  private long positionMicros = UNKNOWN;
  private long reportedAtMicros = UNKNOWN;
  private long rejectedReadAtMicros = UNKNOWN;

  /** Time at which the current position was reported; {@code UNKNOWN} before the first report. */
  public long lastReportedAtMicros() {
    return reportedAtMicros;
  }

  /**
   * Records a position that was reported now. A position ahead of the clock, or not ahead of the
   * known one, is ignored.
   */
  public void advance(long nowMicros, long reportedMicros) {
    if (reportedMicros <= nowMicros && reportedMicros > positionMicros) {
      positionMicros = reportedMicros;
      reportedAtMicros = nowMicros;
    }
  }

  /** Records that the replica rejected a read because it had not reached the required position. */
  public void recordRejectedRead(long nowMicros) {
    rejectedReadAtMicros = nowMicros;
  }

  /**
   * Records that the replica served a read which required this position when it was sent. The last
   * reported lag is kept, so that extrapolation never assumes a smaller lag than that.
   */
  public void recordProvenPosition(long sentAtMicros, long requiredMicros) {
    if (requiredMicros > positionMicros) {
      long lagMicros = positionMicros == UNKNOWN ? sentAtMicros : reportedAtMicros - positionMicros;
      reportedAtMicros = Math.min(sentAtMicros, requiredMicros + lagMicros);
      positionMicros = requiredMicros;
    }
  }

  /** Whether the replica is known to have applied the position. */
  public boolean hasApplied(long requiredMicros) {
    return positionMicros >= requiredMicros;
  }

  /**
   * Whether the replica can be assumed to have applied the position; only for replicas that check
   * their own lag. The known position is older than the actual one, so the lag is assumed to be
   * unchanged since the last report. A rejected read disproves this assumption until the next
   * report, or until {@link #STALE_AFTER_MICROS} have passed.
   *
   * @param toleratedLagMicros additional lag that the replica makes up by waiting before it rejects
   *     a read
   */
  public boolean mayHaveApplied(long nowMicros, long requiredMicros, long toleratedLagMicros) {
    return hasApplied(requiredMicros)
        || positionMicros != UNKNOWN
            && !isExtrapolationDisproved(nowMicros)
            && reportedAtMicros > nowMicros - MAX_EXTRAPOLATION_MICROS
            && positionMicros + (nowMicros - reportedAtMicros) + toleratedLagMicros
                >= requiredMicros;
  }

  private boolean isExtrapolationDisproved(long nowMicros) {
    return rejectedReadAtMicros >= reportedAtMicros
        && rejectedReadAtMicros > nowMicros - STALE_AFTER_MICROS;
  }

  /**
   * Whether a health check may yield new information.
   *
   * @param checkedAtMicros time at which the last health check was sent
   * @param livenessWanted whether the health check is to find out if the host is up, in which case
   *     recent position reports do not make the check unnecessary
   */
  public boolean isHealthCheckDue(long nowMicros, long checkedAtMicros, boolean livenessWanted) {
    if (livenessWanted) {
      return nowMicros - checkedAtMicros > MIN_CHECK_INTERVAL_MICROS;
    }
    return nowMicros - Math.max(checkedAtMicros, reportedAtMicros) > healthCheckIntervalMicros();
  }

  /**
   * Time after the last report or health check before another one may yield new information. A
   * replica that is far behind stays behind for some time, because it catches up no faster than it
   * applies the log.
   */
  public long healthCheckIntervalMicros() {
    long lagMicros = positionMicros == UNKNOWN ? 0 : reportedAtMicros - positionMicros;
    return Math.max(MIN_CHECK_INTERVAL_MICROS, lagMicros / LAG_TO_CHECK_INTERVAL_RATIO);
  }
}

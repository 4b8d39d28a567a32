package shelffront.time;

/**
 * The times of a graceful shutdown, in microseconds. The platform kills a gateway at the earliest
 * when the longest deadline of its requests and a grace period have passed since the stop order.
 * Every request needs its final response before that, however late it arrived.
 *
 * @param closeIdleAtMicros time from which idle connections are closed
 * @param answerByMicros time by which every request has its final response, and from which no
 *     further request is read
 */
public record ShutdownSchedule(long closeIdleAtMicros, long answerByMicros) {

  /** New connections that carry requests may arrive for 0.4 s after the stop order. */
  private static final long LATE_ARRIVAL_WINDOW_MICROS = 500_000;

  /** The platform waits for the longest deadline, but not for more of it than this. */
  private static final long MAX_AWAITED_DEADLINE_MICROS = 3_000_000;

  /** Time that the platform adds to the longest deadline before it kills the process. */
  private static final long KILL_GRACE_MICROS = 700_000;

  /** A process may be paused for this long between reading its clock and acting. */
  private static final long MAX_PAUSE_MICROS = 150_000;

  /**
   * Time kept between the last response and the kill: a pause before the stop order is noticed,
   * another before the responses are written, and the closing of the connections.
   */
  private static final long CLOSING_MARGIN_MICROS = 2 * MAX_PAUSE_MICROS + 100_000;

  /**
   * Returns the schedule of a shutdown that begins now.
   *
   * @param longestDeadlineMicros the longest time that a request may take
   */
  public static ShutdownSchedule beginningAt(long nowMicros, long longestDeadlineMicros) {
    long closeIdleAtMicros = nowMicros + LATE_ARRIVAL_WINDOW_MICROS;
    long killAtMicros =
        nowMicros
            + Math.min(longestDeadlineMicros, MAX_AWAITED_DEADLINE_MICROS)
            + KILL_GRACE_MICROS;
    return new ShutdownSchedule(
        closeIdleAtMicros, Math.max(closeIdleAtMicros, killAtMicros - CLOSING_MARGIN_MICROS));
  }
}

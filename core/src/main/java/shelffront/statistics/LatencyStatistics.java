package shelffront.statistics;

/**
 * The smoothed latency of an endpoint, and the same over the latency objective that each answer
 * had.
 *
 * <p>A new answer counts for 15 % at least, and for more the longer ago the last one was. Times are
 * microseconds. Not safe for use by several threads.
 */
public final class LatencyStatistics {

  private static final double MIN_WEIGHT = 0.15;

  private final double decayMicros;
  private double latencyMicros;
  private double latencyOverObjective;
  private double recordedAtMicros = Double.NEGATIVE_INFINITY;

  /**
   * Starts with what is assumed before the first answer.
   *
   * @param decayMicros time in which the weight of what was known falls to 1/e
   */
  public LatencyStatistics(
      double decayMicros, double initialLatencyMicros, double initialLatencyOverObjective) {
    this.decayMicros = decayMicros;
    this.latencyMicros = initialLatencyMicros;
    this.latencyOverObjective = initialLatencyOverObjective;
  }

  /** Takes in the latency of an answer, or how long one was waited for. */
  public void record(long nowMicros, double observedMicros, long objectiveMicros) {
    double weight =
        Math.max(MIN_WEIGHT, 1 - Math.exp((recordedAtMicros - nowMicros) / decayMicros));
    recordedAtMicros = nowMicros;
    latencyMicros += weight * (observedMicros - latencyMicros);
    latencyOverObjective += weight * (observedMicros / objectiveMicros - latencyOverObjective);
  }

  public double latencyMicros() {
    return latencyMicros;
  }

  public double latencyOverObjective() {
    return latencyOverObjective;
  }
}

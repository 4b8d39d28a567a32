package shelffront.statistics;

/**
 * Smoothed latency of an endpoint, and smoothed ratio of latency to latency objective.
 *
 * <p>A new sample has a weight of at least 15 %, and more the longer ago the previous sample was.
 * Times are microseconds. Not thread-safe.
 */
public final class LatencyStatistics {

  private static final double MIN_WEIGHT = 0.15;

  private final double decayMicros;
  private double latencyMicros;
  private double latencyOverObjective;
  private double recordedAtMicros = Double.NEGATIVE_INFINITY;

  /**
   * Creates statistics with the values assumed before the first sample.
   *
   * @param decayMicros time within which the weight of earlier samples falls to 1/e
   */
  public LatencyStatistics(
      double decayMicros, double initialLatencyMicros, double initialLatencyOverObjective) {
    this.decayMicros = decayMicros;
    this.latencyMicros = initialLatencyMicros;
    this.latencyOverObjective = initialLatencyOverObjective;
  }

  /** Records the latency of a response, or the time spent waiting for one that did not arrive. */
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

package shelffront.statistics;

/**
 * What the answer times of a member come to: their smoothed length, and their load, which is the
 * length as a share of the aim that each answer had. A new one counts for 15 % at least, and for
 * more the longer the last one is past.
 */
public final class LatencyStatistics {

  private static final double LEAST_WEIGHT = 0.15;

  private final double smoothing;
  private double took;
  private double load;
  private double at = Double.NEGATIVE_INFINITY;

  /** The smoothing is in microseconds: the time after which what is past counts for a third. */
  public LatencyStatistics(double smoothing, double took, double load) {
    this.smoothing = smoothing;
    this.took = took;
    this.load = load;
  }

  /** Takes in an answer, or how long one was waited for; all in microseconds. */
  public void record(long now, double answer, long aim) {
    double weight = Math.max(LEAST_WEIGHT, 1 - Math.exp((at - now) / smoothing));
    at = now;
    took += weight * (answer - took);
    load += weight * (answer / aim - load);
  }

  /** Microseconds. */
  public double latencyMicros() {
    return took;
  }

  public double latencyOverObjective() {
    return load;
  }
}

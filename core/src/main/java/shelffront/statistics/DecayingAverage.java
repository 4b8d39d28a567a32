package shelffront.statistics;

/**
 * Recent events, each worth less the longer ago it was: their count and the mean of their values.
 *
 * <p>An event's weight falls to 1/e in {@link #decaySeconds}. Times are microseconds and must not
 * step back. Not safe for use by several threads.
 */
public final class DecayingAverage {

  private static final double MICROS_PER_SECOND = 1e6;

  public final double decaySeconds;
  private double count;
  private double sum;
  private long updatedAtMicros;

  /** Starts without events. */
  public DecayingAverage(double decaySeconds) {
    this.decaySeconds = decaySeconds;
  }

  /** Number of recent events, the older ones in part. */
  public double count(long nowMicros) {
    return count * remainingWeight(nowMicros);
  }

  /**
   * The mean of the values.
   *
   * @param prior value that is assumed where events are few
   * @param priorWeight number of events that the prior counts for
   */
  public double mean(long nowMicros, double prior, double priorWeight) {
    double remaining = remainingWeight(nowMicros);
    return (sum * remaining + prior * priorWeight) / (count * remaining + priorWeight);
  }

  /** Takes in one event. */
  public void record(long nowMicros, double value) {
    double remaining = remainingWeight(nowMicros);
    sum = sum * remaining + value;
    count = count * remaining + 1;
    updatedAtMicros = nowMicros;
  }

  private double remainingWeight(long nowMicros) {
    return Math.exp((updatedAtMicros - nowMicros) / (decaySeconds * MICROS_PER_SECOND));
  }
}

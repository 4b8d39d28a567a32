package shelffront.statistics;

/**
 * Exponentially decaying count of events and mean of their values.
 *
 * <p>The weight of an event falls to 1/e within {@link #decaySeconds}. Times are microseconds and
 * must not decrease. Not thread-safe.
 */
public final class DecayingAverage {

  private static final double MICROS_PER_SECOND = 1e6;

  public final double decaySeconds;
  private double count;
  private double sum;
  private long updatedAtMicros;

  /** Creates an average without events. */
  public DecayingAverage(double decaySeconds) {
    this.decaySeconds = decaySeconds;
  }

  /** Decayed number of events: older events count for less than 1. */
  public double count(long nowMicros) {
    return count * remainingWeight(nowMicros);
  }

  /**
   * Returns the decayed mean of the values.
   *
   * @param prior value assumed while there are few events
   * @param priorWeight number of events that the prior is equivalent to
   */
  public double mean(long nowMicros, double prior, double priorWeight) {
    double remaining = remainingWeight(nowMicros);
    return (sum * remaining + prior * priorWeight) / (count * remaining + priorWeight);
  }

  /** Records one event. */
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

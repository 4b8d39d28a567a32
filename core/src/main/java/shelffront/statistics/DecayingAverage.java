package shelffront.statistics;

/**
 * Events of late, each worth less the longer ago it was: their count and the mean of their values.
 * An event's weight falls to 1/e in {@link #seconds}; times are microseconds and must not step
 * back.
 */
public final class DecayingAverage {

  public final double seconds;
  private double count;
  private double sum;
  private long since;

  public DecayingAverage(double seconds) {
    this.seconds = seconds;
  }

  /** How many there were of late, the older ones in part. */
  public double count(long time) {
    return count * Math.exp((since - time) / (seconds * 1e6));
  }

  /** The mean, drawn to what is known from elsewhere where events are few. */
  public double mean(long time, double prior, double weight) {
    double faded = Math.exp((since - time) / (seconds * 1e6));
    return (sum * faded + prior * weight) / (count * faded + weight);
  }

  public void record(long time, double value) {
    double faded = Math.exp((since - time) / (seconds * 1e6));
    sum = sum * faded + value;
    count = count * faded + 1;
    since = time;
  }
}

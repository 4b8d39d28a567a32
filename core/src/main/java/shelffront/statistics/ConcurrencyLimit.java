package shelffront.statistics;

/**
 * How many requests an endpoint may have at a time. The limit grows with answers that come as they
 * should and is cut by those that don't.
 *
 * <p>Invariants: it is cut once at most within a latency, and stays between {@link #MIN} and {@link
 * #MAX}. A limit under one spaces requests out instead. Not safe for use by several threads.
 */
public final class ConcurrencyLimit {

  private static final double MAX = 200;
  private static final double MIN = 0.05;

  /** Part of the limit that has to be in use for an answer to let it grow. */
  private static final double MIN_UTILIZATION_TO_GROW = 0.7;

  /** Growth for one answer at most. */
  private static final double MAX_INCREASE = 0.2;

  private double limit;
  private double decreasedAtMicros = Double.NEGATIVE_INFINITY;

  /** Sets the first limit; one that was set before keeps what it has learned. */
  public void initialize(double initialLimit) {
    limit = limit > 0 ? limit : initialLimit;
  }

  /**
   * Whether one more request has room.
   *
   * @param fraction part of the limit that counts now, 0 to 1
   * @param outstanding requests that are out
   * @param lastSentAtMicros when the last one was sent
   * @param latencyMicros typical time to an answer
   */
  public boolean hasCapacity(
      long nowMicros,
      double fraction,
      int outstanding,
      long lastSentAtMicros,
      double latencyMicros) {
    double available = limit * fraction;
    return outstanding < available
        && (available >= 1 || nowMicros > lastSentAtMicros + latencyMicros / available);
  }

  /** An answer came as it should while so many were out. */
  public void increase(int outstanding) {
    if (outstanding + 1 >= limit * MIN_UTILIZATION_TO_GROW) {
      limit = Math.min(MAX, limit + Math.min(MAX_INCREASE, 1 / limit));
    }
  }

  /** Answers are late, or none came: multiplies the limit by the factor. */
  public void decrease(long nowMicros, double latencyMicros, double factor) {
    if (nowMicros - decreasedAtMicros > latencyMicros) {
      decreasedAtMicros = nowMicros;
      limit = Math.max(MIN, limit * factor);
    }
  }

  /** The endpoint is ejected: afterwards it begins with half the limit, and with one at least. */
  public void halve() {
    limit = Math.max(1, limit / 2);
  }
}

package shelffront.statistics;

/**
 * Adaptive limit on the requests that an endpoint has in flight. The limit increases with timely
 * responses and decreases with late or missing ones.
 *
 * <p>Invariants: the limit is decreased at most once per latency and stays between {@link
 * #MIN_REQUESTS} and {@link #MAX_REQUESTS}. A limit below 1 sets a minimum interval between
 * requests instead. Not thread-safe.
 */
public final class ConcurrencyLimit {

  private static final double MAX_REQUESTS = 200;
  private static final double MIN_REQUESTS = 0.05;

  /** Fraction of the limit that must be in use for a response to increase it. */
  private static final double MIN_UTILIZATION_TO_GROW = 0.7;

  /** Maximum increase per response. */
  private static final double MAX_INCREASE_REQUESTS = 0.2;

  private double limit;
  private double decreasedAtMicros = Double.NEGATIVE_INFINITY;

  /**
   * Sets the initial limit; has no effect if a limit is already set, so that its adaptation is
   * kept.
   */
  public void initialize(double initialLimit) {
    limit = limit > 0 ? limit : initialLimit;
  }

  /**
   * Whether one more request may be sent.
   *
   * @param fraction fraction of the limit that is available now, 0 to 1
   * @param outstanding requests in flight
   * @param lastSentAtMicros time at which the last request was sent
   * @param latencyMicros typical latency of a response
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

  /**
   * Increases the limit after a timely response, if enough of it was in use.
   *
   * @param outstanding requests that are still in flight
   */
  public void increase(int outstanding) {
    if (outstanding + 1 >= limit * MIN_UTILIZATION_TO_GROW) {
      limit = Math.min(MAX_REQUESTS, limit + Math.min(MAX_INCREASE_REQUESTS, 1 / limit));
    }
  }

  /** Multiplies the limit by the factor, because responses are late or missing. */
  public void decrease(long nowMicros, double latencyMicros, double factor) {
    if (nowMicros - decreasedAtMicros > latencyMicros) {
      decreasedAtMicros = nowMicros;
      limit = Math.max(MIN_REQUESTS, limit * factor);
    }
  }

  /**
   * Halves the limit for an endpoint that is ejected, so that it restarts with half its limit, and
   * with at least 1.
   */
  public void halve() {
    limit = Math.max(1, limit / 2);
  }
}

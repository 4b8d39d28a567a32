package shelffront.fleet;

import java.util.SplittableRandom;
import shelffront.statistics.DecayingAverage;

/**
 * One gateway's part of what the warming endpoints of a replica set may be sent, each gateway
 * acting alone.
 *
 * <p>A warming endpoint may have half the overload factor of what a warm one gets from this
 * gateway, times its capacity fraction. Every gateway keeps to that, so the fleet keeps to half the
 * factor of what it usually sends an endpoint, whatever the number of gateways and however unevenly
 * they are used. No gateway has a minimum budget: each request is admitted with a probability, so
 * that a hundred gateways with a request a minute add up as one with a hundred.
 *
 * <p>Requests that need the primary can go nowhere else, so they use its budget first and reads get
 * the rest. For reads, a request is hashed to a point of the unit interval, and each warming
 * endpoint of the set owns a subinterval as long as the fraction of the reads that its budget
 * covers. The subintervals are laid end to end and wrap around at 1; a request may go to the
 * endpoint in whose subinterval its point lies. So each endpoint gets its fraction, and a request
 * is refused by all of them only where their subintervals leave a gap.
 *
 * <p>All counts are of the last {@link #WINDOW_SECONDS}, by this gateway. Where the number of other
 * requests is Poisson distributed with mean m, the mean of m / (others + 1) is 1 - e^-m, which is
 * below 1: since a request counts itself, the fleet stays within the budget for any m. Times are
 * microseconds. Not safe for use by several threads.
 */
public final class SlowStartBudget {

  /** Time over which usual traffic is counted. */
  public static final double WINDOW_SECONDS = 20;

  /** Half the overload factor is used, so that the fleet stays well below it. */
  private static final double SAFETY_DIVISOR = 2;

  /** Spreads the few bits of a string's hash over a seed: 2^64 over the golden ratio. */
  private static final long SEED_MULTIPLIER = 0x9E3779B97F4A7C15L;

  private final Demand primaryDemand;
  private final Demand readDemand;

  /** Starts without requests; a jump of demand within the overload window counts at once. */
  public SlowStartBudget(double overloadWindowSeconds) {
    primaryDemand = new Demand(overloadWindowSeconds);
    readDemand = new Demand(overloadWindowSeconds);
  }

  /** Takes in a request of the replica set, once, when it arrives. */
  public void recordRequest(long nowMicros, boolean requiresPrimary) {
    (requiresPrimary ? primaryDemand : readDemand).record(nowMicros);
  }

  /**
   * The fraction of its capacity that an endpoint has at least, 0 to 1, by its age.
   *
   * @param initialFraction at age 0
   * @param durationMicros age at which it has all
   */
  public static double capacityFraction(
      long ageMicros, double initialFraction, long durationMicros) {
    return ageMicros >= durationMicros
        ? 1
        : initialFraction + (1 - initialFraction) * Math.max(0, ageMicros) / durationMicros;
  }

  /**
   * How many requests of the window an endpoint may be sent. For a primary this counts from what a
   * warm one gets: the requests that need it, where those are more than an average endpoint gets.
   *
   * @param capacityFraction fraction of its capacity that the endpoint has now
   * @param usualSends what a warm endpoint of its capacity is sent by this gateway, on average, in
   *     the window
   */
  public double budget(
      long nowMicros,
      double capacityFraction,
      double overloadFactor,
      double usualSends,
      boolean primary) {
    return capacityFraction
        * overloadFactor
        / SAFETY_DIVISOR
        * (primary ? Math.max(usualSends, primaryDemand.count(nowMicros)) : usualSends);
  }

  /**
   * Whether a warming endpoint's budget covers this request. While no primary is known, requests
   * that need it are tried on replicas and count as reads.
   *
   * @param toPrimary whether the endpoint is the primary; its subinterval is the last of its set
   * @param budgetsBefore sum of the budgets of the warming endpoints whose subintervals come before
   * @param budget of the endpoint, by {@link #budget}
   */
  public boolean admits(
      long nowMicros,
      String requestId,
      boolean requiresPrimary,
      boolean toPrimary,
      boolean primaryKnown,
      double budgetsBefore,
      double budget) {
    double primaryRequests = primaryDemand.count(nowMicros);
    if (toPrimary && requiresPrimary) {
      return hashToUnitInterval(requestId) < budget / Math.max(1, primaryRequests);
    }
    double reads = Math.max(1, readDemand.count(nowMicros) + (primaryKnown ? 0 : primaryRequests));
    double budgetForReads = toPrimary ? budget - primaryRequests : budget;
    double offset = (hashToUnitInterval(requestId) - budgetsBefore / reads) % 1;
    double wrappedOffset = offset < 0 ? offset + 1 : offset;
    return wrappedOffset < budgetForReads / reads;
  }

  /** The request's point of the unit interval: uniformly distributed, and the same at each call. */
  private static double hashToUnitInterval(String requestId) {
    return new SplittableRandom(requestId.hashCode() * SEED_MULTIPLIER).nextDouble();
  }

  /** Requests in the window: the long-term count, or the short-term rate where that gives more. */
  private static final class Demand {

    private final DecayingAverage steady = new DecayingAverage(WINDOW_SECONDS);
    private final DecayingAverage sudden;

    Demand(double overloadWindowSeconds) {
      sudden = new DecayingAverage(overloadWindowSeconds);
    }

    void record(long nowMicros) {
      steady.record(nowMicros, 1);
      sudden.record(nowMicros, 1);
    }

    double count(long nowMicros) {
      double suddenCount = (sudden.count(nowMicros) - 1) * WINDOW_SECONDS / sudden.decaySeconds;
      return Math.max(steady.count(nowMicros), suddenCount);
    }
  }
}

package shelffront.fleet;

import java.util.SplittableRandom;
import shelffront.statistics.DecayingAverage;

/**
 * Limits the requests that one gateway sends to the warming endpoints of a replica set. Each
 * gateway applies its budget independently.
 *
 * <p>A warming endpoint may get half the overload factor times its capacity fraction times the
 * requests that a warm endpoint gets from this gateway. As every gateway observes this limit, the
 * fleet sends at most half the overload factor of what it usually sends to an endpoint, regardless
 * of the number of gateways and of how unevenly they are used. No gateway has a minimum budget:
 * each request is admitted with a probability, so a hundred gateways with one request per minute
 * send as much as one gateway with a hundred requests per minute.
 *
 * <p>Requests that need the primary cannot go elsewhere, so they use its budget first and reads get
 * the rest. A read is hashed to a point of the unit interval, and each warming endpoint of the
 * replica set owns a subinterval whose length is the fraction of the reads that its budget covers.
 * The subintervals are laid end to end and wrap around at 1; a read may go to the endpoint whose
 * subinterval contains its point. Each endpoint thus gets its fraction, and a read is refused by
 * all endpoints only if its point lies in a gap between the subintervals.
 *
 * <p>All counts cover the last {@link #WINDOW_SECONDS} on this gateway. If the number of other
 * requests is Poisson distributed with mean m, the mean of m / (others + 1) is 1 - e^-m, which is
 * below 1. Each request counts itself, so the fleet stays within the budget for any m. Times are
 * microseconds. Not thread-safe.
 */
public final class SlowStartBudget {

  /** Time constant over which regular traffic is counted. */
  public static final double WINDOW_SECONDS = 20;

  /** Only half the overload factor is used, so that the fleet stays well below it. */
  private static final double OVERLOAD_FACTOR_DIVISOR = 2;

  /** Spreads the 32 bits of a string hash over a 64-bit seed: 2^64 divided by the golden ratio. */
  private static final long SEED_MULTIPLIER = 0x9E3779B97F4A7C15L;

  private final Demand primaryDemand;
  private final Demand readDemand;

  /**
   * Creates a budget without requests.
   *
   * @param overloadWindowSeconds time constant of the short-term rate, by which a sudden increase
   *     in demand takes effect at once
   */
  public SlowStartBudget(double overloadWindowSeconds) {
    primaryDemand = new Demand(overloadWindowSeconds);
    readDemand = new Demand(overloadWindowSeconds);
  }

  /** Records a request of the replica set; to be called once per request, when it arrives. */
  public void recordRequest(long nowMicros, boolean requiresPrimary) {
    (requiresPrimary ? primaryDemand : readDemand).record(nowMicros);
  }

  /**
   * Returns the minimum fraction of its capacity, 0 to 1, that an endpoint of the given age has.
   *
   * @param initialFraction fraction at age 0
   * @param durationMicros age at which the endpoint has its full capacity
   */
  public static double capacityFraction(
      long ageMicros, double initialFraction, long durationMicros) {
    return ageMicros >= durationMicros
        ? 1
        : initialFraction + (1 - initialFraction) * Math.max(0, ageMicros) / durationMicros;
  }

  /**
   * Returns the number of requests per window that may be sent to an endpoint. The budget of a
   * primary is based on what a warm primary gets: the requests that need the primary, if these are
   * more than an average endpoint gets.
   *
   * @param capacityFraction current fraction of its capacity that the endpoint has
   * @param usualSends requests per window that this gateway sends, on average, to a warm endpoint
   *     of the same capacity
   */
  public double budget(
      long nowMicros,
      double capacityFraction,
      double overloadFactor,
      double usualSends,
      boolean primary) {
    return capacityFraction
        * overloadFactor
        / OVERLOAD_FACTOR_DIVISOR
        * (primary ? Math.max(usualSends, primaryDemand.count(nowMicros)) : usualSends);
  }

  /**
   * Whether the budget of a warming endpoint covers this request. While no primary is known,
   * requests that need the primary are tried on replicas and count as reads.
   *
   * @param toPrimary whether the endpoint is the primary, whose subinterval is the last of its
   *     replica set
   * @param budgetsBefore sum of the budgets of the warming endpoints whose subintervals come before
   * @param budget budget of the endpoint, as returned by {@link #budget}
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

  /**
   * Maps a request to a point of the unit interval: uniformly distributed, and the same at each
   * call.
   */
  private static double hashToUnitInterval(String requestId) {
    return new SplittableRandom(requestId.hashCode() * SEED_MULTIPLIER).nextDouble();
  }

  /** Requests per window: the long-term count, or the short-term rate if that is higher. */
  private static final class Demand {

    private final DecayingAverage longTerm = new DecayingAverage(WINDOW_SECONDS);
    private final DecayingAverage shortTerm;

    Demand(double overloadWindowSeconds) {
      shortTerm = new DecayingAverage(overloadWindowSeconds);
    }

    void record(long nowMicros) {
      longTerm.record(nowMicros, 1);
      shortTerm.record(nowMicros, 1);
    }

    double count(long nowMicros) {
      double shortTermCount =
          (shortTerm.count(nowMicros) - 1) * WINDOW_SECONDS / shortTerm.decaySeconds;
      return Math.max(longTerm.count(nowMicros), shortTermCount);
    }
  }
}

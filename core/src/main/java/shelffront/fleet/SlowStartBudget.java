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
 * they are used. No gateway has a least share: each request makes one draw, so that a hundred
 * gateways with a request a minute add up as one with a hundred.
 *
 * <p>Requests that need the primary have no other endpoint and come out of its budget first; what
 * they leave is for reads. All endpoints of a set share one draw: each has an arc of one circle as
 * long as its share, laid end to end, and a request may go to the endpoint in whose arc its draw
 * falls. Each gets its share as with a draw of its own, and a request meets none of them only where
 * the shares of all leave part of the circle free.
 *
 * <p>All counts are of the last {@link #WINDOW_SECONDS}, by this gateway. With m others on the
 * mean, Poisson, the mean of m / (others + 1) is 1 - e^-m: a request that counts itself keeps the
 * fleet's sum to the budget for any m. Times are microseconds. Not safe for use by several threads.
 */
public final class SlowStartBudget {

  /** Time over which usual traffic is counted. */
  public static final double WINDOW_SECONDS = 20;

  /** The budget is the part of the overload factor that stays below it on the safe side. */
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
   * What an endpoint may have, as a number of requests in the window. A primary bears, when it is
   * warm, what needs the primary, be that more than what endpoints get on the mean.
   *
   * @param capacityFraction fraction of its capacity that the endpoint has now
   * @param usualSends what a warm endpoint of its size gets here on the mean, in the window
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
   * Whether a warming endpoint's budget covers this request. Without a known primary what needs it
   * is tried on replicas, and counts as reads do.
   *
   * @param toPrimary whether the endpoint is the primary; its arc is the last of its set
   * @param budgetsBefore the budgets of the warming endpoints whose arcs come before, together
   */
  public boolean admits(
      long nowMicros,
      String requestId,
      boolean requiresPrimary,
      boolean toPrimary,
      boolean primaryKnown,
      double budgetsBefore,
      double budget) {
    double owedToPrimary = primaryDemand.count(nowMicros);
    if (toPrimary && requiresPrimary) {
      return draw(requestId) < budget / Math.max(1, owedToPrimary);
    }
    double demand = Math.max(1, readDemand.count(nowMicros) + (primaryKnown ? 0 : owedToPrimary));
    double budgetForReads = toPrimary ? budget - owedToPrimary : budget;
    double offset = (draw(requestId) - budgetsBefore / demand) % 1;
    double offsetOnCircle = offset < 0 ? offset + 1 : offset;
    return offsetOnCircle < budgetForReads / demand;
  }

  /** Evenly spread over 0 to 1, and the same whenever the request is looked at. */
  private static double draw(String requestId) {
    return new SplittableRandom(requestId.hashCode() * SEED_MULTIPLIER).nextDouble();
  }

  /** Recent requests in the window: by the long count, or by the short one where it says more. */
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

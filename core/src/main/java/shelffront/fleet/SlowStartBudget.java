package shelffront.fleet;

import java.util.SplittableRandom;
import shelffront.statistics.DecayingAverage;

/**
 * One gateway's part of what the hosts of a group that started of late may be sent, each gateway
 * acting alone.
 *
 * <p>A cold host may have half the fall multiple of what a warm one gets from this gateway, times
 * its warmth. Every gateway keeps to that, so the fleet keeps to half the multiple of what it
 * usually sends a host, whatever the number of gateways and however unevenly they are used. No
 * gateway has a least share: each request draws one lot, so that a hundred gateways with a request
 * a minute add up as one with a hundred.
 *
 * <p>Requests that need the primary have no other host and come out of its budget first; what they
 * leave is for reads. The lots of a group are one draw: each cold host has an arc of one circle as
 * long as its share, laid end to end, and a request may go to the host in whose arc its draw falls.
 * Each host gets its share as with a draw of its own, and a request meets none of them only where
 * the shares of all leave part of the circle free.
 *
 * <p>All counts are of the last {@link #WINDOW}, by this gateway. With m others on the mean,
 * Poisson, the mean of m / (others + 1) is 1 - e^-m: a request that counts itself keeps the fleet's
 * sum to the budget for any m.
 */
public final class SlowStartBudget {

  /** Seconds over which usual traffic is counted. */
  public static final double WINDOW = 20;

  private final Demand owed; // needs the primary
  private final Demand reads;

  /**
   * The fall time is that of the platform's rule, in seconds: a jump of demand within it counts at
   * once.
   */
  public SlowStartBudget(double fallSeconds) {
    owed = new Demand(fallSeconds);
    reads = new Demand(fallSeconds);
  }

  /** Takes in a request of the group, once, when it arrives; the time is in microseconds. */
  public void recordRequest(long now, boolean needsPrimary) {
    (needsPrimary ? owed : reads).add(now);
  }

  /**
   * The share of its capacity that a host has at least, 0 to 1, by its age and the figures of the
   * platform's rule.
   */
  public static double capacityFraction(long age, double coldFrom, long coldTime) {
    return age >= coldTime ? 1 : coldFrom + (1 - coldFrom) * Math.max(0, age) / coldTime;
  }

  /**
   * What a host may have, as a number of requests in the window. A primary of the group bears, when
   * it is warm, what needs the primary, be that more than what hosts get on the mean.
   *
   * @param usualSends what a warm host of its size gets here on the mean, in the window
   */
  public double budget(
      long now, double warmth, double fallMultiple, double usualSends, boolean primary) {
    return warmth
        * fallMultiple
        / 2
        * (primary ? Math.max(usualSends, owed.count(now)) : usualSends);
  }

  /**
   * Whether a cold host's budget covers this request. Without a known primary what needs it is
   * tried on replicas, and counts as reads do.
   *
   * @param toPrimary whether the host is the primary; its arc is the last of its group
   * @param before the budgets of the cold hosts whose arcs come before this host's, together
   */
  public boolean admits(
      long now,
      String request,
      boolean needsPrimary,
      boolean toPrimary,
      boolean primaryKnown,
      double before,
      double budget) {
    if (toPrimary && needsPrimary) {
      return draw(request) < budget / Math.max(1, owed.count(now));
    }
    double wanted = Math.max(1, reads.count(now) + (primaryKnown ? 0 : owed.count(now)));
    double left = toPrimary ? budget - owed.count(now) : budget;
    double past = (draw(request) - before / wanted) % 1;
    return (past < 0 ? past + 1 : past) < left / wanted;
  }

  /** Evenly spread over 0 to 1, and the same whenever the request is looked at. */
  private static double draw(String request) {
    return new SplittableRandom(request.hashCode() * 0x9E3779B97F4A7C15L).nextDouble();
  }

  /**
   * Requests of late, as a number in the window: by the long count, or by the short one where that
   * says more.
   */
  private static final class Demand {

    private final DecayingAverage steady = new DecayingAverage(WINDOW);
    private final DecayingAverage sudden;

    Demand(double fallSeconds) {
      sudden = new DecayingAverage(fallSeconds);
    }

    void add(long now) {
      steady.record(now, 1);
      sudden.record(now, 1);
    }

    double count(long now) {
      return Math.max(steady.count(now), (sudden.count(now) - 1) * WINDOW / sudden.seconds);
    }
  }
}

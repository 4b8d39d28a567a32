package shelffront.quota;

import java.util.Arrays;
import java.util.List;
import java.util.stream.DoubleStream;

/**
 * Divides a rate among quotas by weight and demand, and sets their rate limits to the results. What
 * no demand covers is added by weight, so that a burst is admitted. Has no state.
 */
final class RateDivision {

  /** Windows' worth of requests that may come at once. */
  private static final double BURST_WINDOWS = 2;

  private static final double MICROS_PER_SECOND = 1e6;

  private RateDivision() {}

  /**
   * Divides a rate among quotas.
   *
   * @param perSecond the rate that is divided
   * @param quotas those that get a part of it here
   * @param others the demand of other loops: it takes part in the division, and is granted there
   */
  static void divide(
      double perSecond, List<Quota> quotas, List<PublishedDemand> others, long nowMicros) {
    double[] weights =
        DoubleStream.concat(
                quotas.stream().mapToDouble(Quota::weight), PublishedDemand.weightsOf(others))
            .toArray();
    double[] demands =
        DoubleStream.concat(
                quotas.stream().mapToDouble(Quota::demandPerSecond),
                PublishedDemand.demandsOf(others))
            .toArray();
    double[] allocations = MaxMinFairness.divide(perSecond, weights, demands);
    double sparePerSecond = perSecond - Arrays.stream(allocations).sum();
    double totalWeight = Arrays.stream(weights).sum();
    for (int i = 0; i < quotas.size(); i++) {
      // Its share by weight is always granted, though others may use it in this window: they are
      // granted less in the next one.
      double guaranteedPerSecond = perSecond * weights[i] / totalWeight;
      double allocatedPerSecond = allocations[i] + sparePerSecond * weights[i] / totalWeight;
      grant(quotas.get(i), Math.max(guaranteedPerSecond, allocatedPerSecond), nowMicros);
    }
  }

  /** Sets a quota's rate, and its burst to as many windows' worth of it. */
  static void grant(Quota quota, double perSecond, long nowMicros) {
    double burst = perSecond * BURST_WINDOWS * TenantQuotas.WINDOW_MICROS / MICROS_PER_SECOND;
    quota.rateLimit().reconfigure(perSecond, burst, nowMicros);
  }
}

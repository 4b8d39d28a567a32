package shelffront.quota;

import java.util.Arrays;
import java.util.List;
import java.util.stream.DoubleStream;

/**
 * Divides a rate among quotas by weight and demand, and sets their rate limits accordingly. Any
 * rate beyond the demands is distributed by weight, so that bursts are admitted. Stateless.
 */
final class RateDivision {

  /** Burst of a rate limit, as the number of windows whose requests it admits at once. */
  private static final double BURST_WINDOWS = 2;

  private static final double MICROS_PER_SECOND = 1e6;

  private RateDivision() {}

  /**
   * Divides a rate among quotas.
   *
   * @param perSecond rate to divide, in requests per second
   * @param quotas quotas of this loop, whose rate limits are set
   * @param others demand of the other loops, which takes part in the division and is granted by
   *     those loops
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
      // The share by weight is always granted, even if other quotas use it in this window; they
      // are granted less in the next window.
      double guaranteedPerSecond = perSecond * weights[i] / totalWeight;
      double allocatedPerSecond = allocations[i] + sparePerSecond * weights[i] / totalWeight;
      grant(quotas.get(i), Math.max(guaranteedPerSecond, allocatedPerSecond), nowMicros);
    }
  }

  /** Sets the rate of a quota, and its burst to {@link #BURST_WINDOWS} windows of that rate. */
  static void grant(Quota quota, double perSecond, long nowMicros) {
    double burst = perSecond * BURST_WINDOWS * TenantQuotas.WINDOW_MICROS / MICROS_PER_SECOND;
    quota.rateLimit().reconfigure(perSecond, burst, nowMicros);
  }
}

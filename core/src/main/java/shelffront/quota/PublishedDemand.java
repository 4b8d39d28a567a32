package shelffront.quota;

import java.util.Arrays;
import java.util.List;
import java.util.stream.DoubleStream;

/**
 * Demand of the tenants of one event loop at its last division of the rate. Other loops include it
 * in their own divisions. Immutable by convention: the arrays are never modified.
 *
 * @param atMicros time of publication
 * @param weights weights of the active tenants
 * @param demands demands of the same tenants in requests per second, in the same order
 */
record PublishedDemand(long atMicros, double[] weights, double[] demands) {

  static PublishedDemand of(List<Quota> quotas, long nowMicros) {
    return new PublishedDemand(
        nowMicros,
        quotas.stream().mapToDouble(Quota::weight).toArray(),
        quotas.stream().mapToDouble(Quota::demandPerSecond).toArray());
  }

  static DoubleStream weightsOf(List<PublishedDemand> published) {
    return published.stream().flatMapToDouble(each -> Arrays.stream(each.weights));
  }

  static DoubleStream demandsOf(List<PublishedDemand> published) {
    return published.stream().flatMapToDouble(each -> Arrays.stream(each.demands));
  }
}

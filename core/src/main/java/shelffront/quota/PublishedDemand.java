package shelffront.quota;

import java.util.Arrays;
import java.util.List;
import java.util.stream.DoubleStream;

/**
 * What the tenants of one event loop asked for when it last divided the rate; other loops count it
 * beside their own tenants. Immutable by convention: nobody writes to the arrays.
 *
 * @param atMicros when it was published
 * @param weights of the tenants that ask
 * @param demands requests a second of the same tenants, in the same order
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

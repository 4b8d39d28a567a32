package shelffront.distribution;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SplittableRandom;

/**
 * Selects the distributor that a subscriber connects to next, and when.
 *
 * <p>Invariants: distributors of the subscriber's zone come first, then those of its region, then
 * all others. Within each group the order is that of rendezvous hashing over the subscriber's name,
 * so that the subscribers of a failed distributor spread evenly over the others. A failed
 * distributor is skipped for a backoff that doubles with each failure. Times are microseconds.
 * Threads: confined to the subscriber's thread.
 */
public final class DistributorSelector {

  /** The backoff after a first failure. */
  public static final long INITIAL_BACKOFF_MICROS = 500_000;

  /** The upper bound of the backoff. */
  public static final long MAX_BACKOFF_MICROS = 2_000_000;

  /** The distributor to connect to and the earliest time to do so. */
  public record Selection(DistributorEndpoint endpoint, long atMicros) {}

  private static final int SAME_ZONE = 0;
  private static final int SAME_REGION = 1;
  private static final int OTHER_REGION = 2;

  private static final class BackoffState {
    private long backoffMicros;
    private long backoffUntilMicros;
  }

  private final List<DistributorEndpoint> preferenceOrder;
  private final Map<DistributorEndpoint, BackoffState> backoffByEndpoint = new HashMap<>();
  private final long jitterMicros;
  private final Random random;

  /**
   * Creates a selector for one subscriber.
   *
   * @param endpoints the distributors in any order; must not be empty
   * @param jitterMicros the upper bound of the random delay before each connect
   */
  public DistributorSelector(
      String subscriber,
      String region,
      String zone,
      List<DistributorEndpoint> endpoints,
      long jitterMicros,
      Random random) {
    if (endpoints.isEmpty()) {
      throw new IllegalArgumentException(
          "no distributors configured for subscriber " + subscriber + "; at least one is required");
    }
    preferenceOrder = new ArrayList<>(endpoints);
    preferenceOrder.sort(
        Comparator.<DistributorEndpoint>comparingInt(endpoint -> distance(endpoint, region, zone))
            .thenComparingDouble(endpoint -> -rank(subscriber, endpoint)));
    preferenceOrder.forEach(endpoint -> backoffByEndpoint.put(endpoint, new BackoffState()));
    this.jitterMicros = jitterMicros;
    this.random = random;
  }

  private static int distance(DistributorEndpoint endpoint, String region, String zone) {
    if (!endpoint.region().equals(region)) {
      return OTHER_REGION;
    }
    return endpoint.zone().equals(zone) ? SAME_ZONE : SAME_REGION;
  }

  /** Returns the rendezvous-hashing weight of a subscriber and distributor pair. */
  private static double rank(String subscriber, DistributorEndpoint endpoint) {
    long subscriberSeed = new SplittableRandom(subscriber.hashCode()).nextLong();
    return new SplittableRandom(subscriberSeed ^ endpoint.address().hashCode()).nextDouble();
  }

  /** Returns all distributors, the most preferred first. */
  public List<DistributorEndpoint> preferenceOrder() {
    return List.copyOf(preferenceOrder);
  }

  /**
   * Returns the most preferred distributor that is not in backoff, delayed by a random jitter. If
   * all are in backoff, returns the one whose backoff ends first.
   */
  public Selection next(long nowMicros) {
    long startMicros = nowMicros + (jitterMicros == 0 ? 0 : random.nextLong(jitterMicros));
    DistributorEndpoint earliest = preferenceOrder.get(0);
    for (DistributorEndpoint endpoint : preferenceOrder) {
      if (backoffUntilMicros(endpoint) <= startMicros) {
        return new Selection(endpoint, startMicros);
      }
      if (backoffUntilMicros(endpoint) < backoffUntilMicros(earliest)) {
        earliest = endpoint;
      }
    }
    return new Selection(earliest, backoffUntilMicros(earliest));
  }

  private long backoffUntilMicros(DistributorEndpoint endpoint) {
    return backoffByEndpoint.get(endpoint).backoffUntilMicros;
  }

  /** Records a broken connection, a timeout, or a view older than that of another distributor. */
  public void recordFailure(DistributorEndpoint endpoint, long nowMicros) {
    BackoffState backoff = backoffByEndpoint.get(endpoint);
    backoff.backoffMicros =
        backoff.backoffMicros == 0
            ? INITIAL_BACKOFF_MICROS
            : Math.min(MAX_BACKOFF_MICROS, 2 * backoff.backoffMicros);
    backoff.backoffUntilMicros = nowMicros + backoff.backoffMicros;
  }

  /** Records an up-to-date response, which ends the backoff. */
  public void recordSuccess(DistributorEndpoint endpoint) {
    BackoffState backoff = backoffByEndpoint.get(endpoint);
    backoff.backoffMicros = 0;
    backoff.backoffUntilMicros = 0;
  }

  /** Returns whether a distributor preferred to the current one is not in backoff. */
  public boolean hasPreferredAlternative(DistributorEndpoint current, long nowMicros) {
    for (DistributorEndpoint endpoint : preferenceOrder) {
      if (endpoint.equals(current)) {
        return false;
      }
      if (backoffUntilMicros(endpoint) <= nowMicros) {
        return true;
      }
    }
    return false;
  }
}

package shelffront.distribution;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SplittableRandom;

/**
 * Selects which distributor a subscriber asks next, and when.
 *
 * <p>Invariants: those of its own zone come first, then those of its region, then any; within each
 * group the order is that of rendezvous hashing over the subscriber's name, so that the subscribers
 * of one that fails spread evenly over the others. One that failed is left out for a backoff that
 * doubles. Times are microseconds. Threads: belongs to its subscriber's.
 */
public final class DistributorSelector {

  /** The backoff after a first failure. */
  public static final long INITIAL_BACKOFF_MICROS = 500_000;

  /** The longest backoff. */
  public static final long MAX_BACKOFF_MICROS = 2_000_000;

  /** Which distributor to ask, and from when on. */
  public record Selection(DistributorEndpoint endpoint, long atMicros) {}

  private static final int SAME_ZONE = 0;
  private static final int SAME_REGION = 1;
  private static final int OTHER_REGION = 2;

  private static final class Health {
    private long backoffMicros;
    private long leftOutUntilMicros;
  }

  private final List<DistributorEndpoint> preferenceOrder;
  private final Map<DistributorEndpoint, Health> healthByEndpoint = new HashMap<>();
  private final long jitterMicros;
  private final Random random;

  /**
   * A selector for one subscriber.
   *
   * @param endpoints one at least, in any order
   * @param jitterMicros reconnects begin at a random moment within so many microseconds
   */
  public DistributorSelector(
      String subscriber,
      String region,
      String zone,
      List<DistributorEndpoint> endpoints,
      long jitterMicros,
      Random random) {
    if (endpoints.isEmpty()) {
      throw new IllegalArgumentException("there is no distributor to ask");
    }
    preferenceOrder = new ArrayList<>(endpoints);
    preferenceOrder.sort(
        Comparator.<DistributorEndpoint>comparingInt(endpoint -> distance(endpoint, region, zone))
            .thenComparingDouble(endpoint -> -rank(subscriber, endpoint)));
    preferenceOrder.forEach(endpoint -> healthByEndpoint.put(endpoint, new Health()));
    this.jitterMicros = jitterMicros;
    this.random = random;
  }

  private static int distance(DistributorEndpoint endpoint, String region, String zone) {
    if (!endpoint.region().equals(region)) {
      return OTHER_REGION;
    }
    return endpoint.zone().equals(zone) ? SAME_ZONE : SAME_REGION;
  }

  /** Rendezvous hashing: a random figure that the subscriber and the distributor determine. */
  private static double rank(String subscriber, DistributorEndpoint endpoint) {
    long ownSeed = new SplittableRandom(subscriber.hashCode()).nextLong();
    return new SplittableRandom(ownSeed ^ endpoint.address().hashCode()).nextDouble();
  }

  /** All of them, the preferred first. */
  public List<DistributorEndpoint> preferenceOrder() {
    return List.copyOf(preferenceOrder);
  }

  /**
   * The first that is not left out, at a moment within the jitter; else the one that comes back
   * first.
   */
  public Selection next(long nowMicros) {
    long startMicros = nowMicros + (jitterMicros == 0 ? 0 : random.nextLong(jitterMicros));
    DistributorEndpoint soonest = preferenceOrder.get(0);
    for (DistributorEndpoint endpoint : preferenceOrder) {
      if (leftOutUntilMicros(endpoint) <= startMicros) {
        return new Selection(endpoint, startMicros);
      }
      if (leftOutUntilMicros(endpoint) < leftOutUntilMicros(soonest)) {
        soonest = endpoint;
      }
    }
    return new Selection(soonest, leftOutUntilMicros(soonest));
  }

  private long leftOutUntilMicros(DistributorEndpoint endpoint) {
    return healthByEndpoint.get(endpoint).leftOutUntilMicros;
  }

  /** It broke, was silent, or its view was older than another's. */
  public void recordFailure(DistributorEndpoint endpoint, long nowMicros) {
    Health health = healthByEndpoint.get(endpoint);
    health.backoffMicros =
        health.backoffMicros == 0
            ? INITIAL_BACKOFF_MICROS
            : Math.min(MAX_BACKOFF_MICROS, 2 * health.backoffMicros);
    health.leftOutUntilMicros = nowMicros + health.backoffMicros;
  }

  /** It gave a fresh answer. */
  public void recordSuccess(DistributorEndpoint endpoint) {
    Health health = healthByEndpoint.get(endpoint);
    health.backoffMicros = 0;
    health.leftOutUntilMicros = 0;
  }

  /** Whether one that is preferred to this could be tried again. */
  public boolean hasPreferredAlternative(DistributorEndpoint current, long nowMicros) {
    for (DistributorEndpoint endpoint : preferenceOrder) {
      if (endpoint.equals(current)) {
        return false;
      }
      if (leftOutUntilMicros(endpoint) <= nowMicros) {
        return true;
      }
    }
    return false;
  }
}

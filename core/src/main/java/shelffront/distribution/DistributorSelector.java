package shelffront.distribution;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SplittableRandom;

/**
 * Which distributor a subscriber asks next, and when: those of its own zone first, then of its
 * region, then any; within each group in the order of rendezvous hashing over the subscriber's
 * name, so that the subscribers of one that fails spread evenly over the others. One that failed is
 * left out for a pause that doubles. Times are microseconds.
 */
public final class DistributorSelector {

  /** The pause after a first failure. */
  public static final long INITIAL_BACKOFF_MICROS = 500_000;

  /** The longest pause. */
  public static final long MAX_BACKOFF_MICROS = 2_000_000;

  /** Whom to ask, and from when on. */
  public record Selection(DistributorEndpoint endpoint, long atMicros) {}

  private static final class Health {
    private long pause;
    private long leftOutUntil;
  }

  private final List<DistributorEndpoint> order;
  private final Map<DistributorEndpoint, Health> health = new HashMap<>();
  private final long spread;
  private final Random random;

  /**
   * @param spread reconnects begin at a random moment within so many microseconds
   */
  public DistributorSelector(
      String subscriber,
      String region,
      String zone,
      List<DistributorEndpoint> endpoints,
      long spread,
      Random random) {
    if (endpoints.isEmpty()) {
      throw new IllegalArgumentException("there is no distributor to ask");
    }
    order = new ArrayList<>(endpoints);
    order.sort(
        Comparator.<DistributorEndpoint>comparingInt(e -> distance(e, region, zone))
            .thenComparingDouble(e -> -rank(subscriber, e)));
    order.forEach(e -> health.put(e, new Health()));
    this.spread = spread;
    this.random = random;
  }

  private static int distance(DistributorEndpoint endpoint, String region, String zone) {
    if (!endpoint.region().equals(region)) {
      return 2;
    }
    return endpoint.zone().equals(zone) ? 0 : 1;
  }

  private static double rank(String subscriber, DistributorEndpoint endpoint) {
    long own = new SplittableRandom(subscriber.hashCode()).nextLong();
    return new SplittableRandom(own ^ endpoint.address().hashCode()).nextDouble();
  }

  /** All of them, the preferred first. */
  public List<DistributorEndpoint> preferenceOrder() {
    return List.copyOf(order);
  }

  /**
   * The first that is not left out, at a moment within the spread; else the one that comes back
   * first.
   */
  public Selection next(long now) {
    long start = now + (spread == 0 ? 0 : random.nextLong(spread));
    DistributorEndpoint soonest = order.get(0);
    for (DistributorEndpoint endpoint : order) {
      if (health.get(endpoint).leftOutUntil <= start) {
        return new Selection(endpoint, start);
      }
      if (health.get(endpoint).leftOutUntil < health.get(soonest).leftOutUntil) {
        soonest = endpoint;
      }
    }
    return new Selection(soonest, health.get(soonest).leftOutUntil);
  }

  /** It broke, was silent, or its view was older than another's. */
  public void recordFailure(DistributorEndpoint endpoint, long now) {
    Health h = health.get(endpoint);
    h.pause = h.pause == 0 ? INITIAL_BACKOFF_MICROS : Math.min(MAX_BACKOFF_MICROS, 2 * h.pause);
    h.leftOutUntil = now + h.pause;
  }

  /** It gave a fresh answer. */
  public void recordSuccess(DistributorEndpoint endpoint) {
    Health h = health.get(endpoint);
    h.pause = 0;
    h.leftOutUntil = 0;
  }

  /** Whether one that is preferred to this could be tried again. */
  public boolean hasPreferredAlternative(DistributorEndpoint present, long now) {
    for (DistributorEndpoint endpoint : order) {
      if (endpoint.equals(present)) {
        return false;
      }
      if (health.get(endpoint).leftOutUntil <= now) {
        return true;
      }
    }
    return false;
  }
}

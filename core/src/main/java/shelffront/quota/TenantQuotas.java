package shelffront.quota;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Admits tenants' requests by weight: divides the requests a second that a gateway can take, and
 * the places for requests that are open at a time.
 *
 * <p>Invariants: an admitted request holds a place until {@link #release}. Division is work
 * conserving: what one tenant leaves idle others use. A tenant has its own rate back within {@link
 * #WINDOW_MICROS}, and its own places as fast as others' open requests end. Where a tenant gives
 * its classes weights, its own rate is divided again in the same way. Tenants that ask for nothing
 * cost nothing: the rate is divided at the first request after a window has passed, and only among
 * those that asked of late.
 *
 * <p>Threads: belongs to one event loop. The loops of a gateway have one {@link SharedCapacity}.
 * Each publishes there what its tenants ask for whenever it divides, counts what the others
 * published, and takes its own tenants' parts. So all come to the same division, one window late at
 * most, and none waits for another. Times are microseconds and never step back.
 */
public final class TenantQuotas {

  /**
   * The rate is divided anew this often; the time within which a change of demand or weight takes
   * effect.
   */
  public static final long WINDOW_MICROS = 100_000;

  /** Windows without a request after which a tenant no longer takes part in the division. */
  private static final int MAX_IDLE_WINDOWS = 20;

  /**
   * Part of all places that requests beyond their tenants' own places may fill; the rest is kept
   * for tenants that are below theirs.
   */
  private static final double LENDABLE_FRACTION = 0.75;

  /** Demand is taken over so many windows at most, after a time without requests. */
  private static final long MAX_WINDOWS_COUNTED = 10;

  private static final double MICROS_PER_SECOND = 1e6;

  private final SharedCapacity capacity;
  private final int loop;
  private final List<Quota> activeQuotas = new ArrayList<>();
  private double activeWeight; // of activeQuotas
  private double weightOfOtherLoops;
  private long windowStartMicros;
  private boolean weightsChanged; // since the rate was last divided

  /**
   * Of the only loop of a gateway.
   *
   * @param requestsPerSecond 0 for no bound
   * @param maxOpenRequests of all tenants together
   */
  public TenantQuotas(double requestsPerSecond, int maxOpenRequests, long nowMicros) {
    this(new SharedCapacity(requestsPerSecond, maxOpenRequests, 1), 0, nowMicros);
  }

  /** Of one loop of several, by its number from 0. */
  public TenantQuotas(SharedCapacity capacity, int loop, long nowMicros) {
    this.capacity = capacity;
    this.loop = loop;
    windowStartMicros = nowMicros;
  }

  /**
   * Gives a new tenant its quota. Weights are above 0; one for each class, or null where its
   * classes have none.
   */
  public Quota register(double weight, double[] classWeights) {
    return new Quota(weight, classWeights);
  }

  /** Changes a tenant's weights; both follow with the next request. */
  public void updateWeights(Quota quota, double weight, double[] classWeights) {
    activeWeight += quota.isActive() ? weight - quota.weight() : 0;
    quota.setWeights(weight, classWeights);
    weightsChanged = true;
  }

  /** Takes a tenant out of the division; its open requests still end by {@link #release}. */
  public void unregister(Quota quota) {
    if (activeQuotas.remove(quota)) {
      quota.deactivate();
      activeWeight -= quota.weight();
    }
  }

  /**
   * Admits a request, which then holds a place until {@link #release}, or rejects it.
   *
   * @return 0 where it is admitted; else the microseconds after which a retry is worth it
   */
  public long admit(Quota quota, int classIndex, long nowMicros) {
    if (!quota.isActive()) {
      activate(quota, nowMicros);
    }
    if (weightsChanged || nowMicros - windowStartMicros >= WINDOW_MICROS) {
      weightsChanged = false;
      divideRate(nowMicros);
    }
    Quota classQuota = quota.classQuota(classIndex);
    quota.countRequest();
    if (classQuota != null) {
      classQuota.countRequest();
    }
    long waitMicros = waitMicros(quota, classQuota, nowMicros);
    if (waitMicros > 0 || !capacity.tryTakePlace(maxPlacesFor(quota))) {
      return Math.max(waitMicros, WINDOW_MICROS);
    }
    quota.rateLimit().consume();
    if (classQuota != null) {
      classQuota.rateLimit().consume();
    }
    quota.countOpened();
    return 0;
  }

  /** Ends an admitted request: it has had its answer. */
  public void release(Quota quota) {
    quota.countClosed();
    capacity.releasePlace();
  }

  /** Requests that hold a place now, of all tenants of all loops. */
  public int openRequests() {
    return capacity.openRequests();
  }

  /** Gives a tenant its own rate at once; others give it back when the rate is next divided. */
  private void activate(Quota quota, long nowMicros) {
    quota.activate();
    activeQuotas.add(quota);
    activeWeight += quota.weight();
    double perSecond =
        capacity.requestsPerSecond() * quota.weight() / (activeWeight + weightOfOtherLoops);
    RateDivision.grant(quota, perSecond, nowMicros);
  }

  /** Microseconds until both rate limits allow a request; 0 if now. */
  private static long waitMicros(Quota quota, Quota classQuota, long nowMicros) {
    long classWaitMicros = classQuota == null ? 0 : classQuota.rateLimit().waitMicros(nowMicros);
    return Math.max(quota.rateLimit().waitMicros(nowMicros), classWaitMicros);
  }

  /** Places that may be taken in all while this tenant takes one more. */
  private double maxPlacesFor(Quota quota) {
    int places = capacity.maxOpenRequests();
    return quota.openRequests() >= ownPlaces(quota) ? places * LENDABLE_FRACTION : places;
  }

  /**
   * Places that are a tenant's own, by its weight among those that ask. One that asks alone leaves
   * some all the same, for whoever comes next.
   */
  private double ownPlaces(Quota quota) {
    int places = capacity.maxOpenRequests();
    double byWeight = Math.floor(places * quota.weight() / (activeWeight + weightOfOtherLoops));
    return Math.max(1, Math.min(places * LENDABLE_FRACTION, byWeight));
  }

  /** Ends the window: counts demand, publishes it, and grants each active tenant its rate. */
  private void divideRate(long nowMicros) {
    double seconds = countedWindowMicros(nowMicros) / MICROS_PER_SECOND;
    windowStartMicros = nowMicros;
    activeQuotas.forEach(quota -> quota.endWindow(seconds));
    deactivateIdle();
    activeWeight = activeQuotas.stream().mapToDouble(Quota::weight).sum();
    capacity.publish(loop, PublishedDemand.of(activeQuotas, nowMicros));
    List<PublishedDemand> others = capacity.currentDemandsOfOthers(loop, nowMicros);
    weightOfOtherLoops = PublishedDemand.weightsOf(others).sum();
    if (capacity.requestsPerSecond() > 0) {
      RateDivision.divide(capacity.requestsPerSecond(), activeQuotas, others, nowMicros);
      activeQuotas.stream()
          .filter(Quota::hasClassQuotas)
          .forEach(quota -> divideAmongClasses(quota, seconds, nowMicros));
    }
  }

  /**
   * Over how long the requests of the window are counted. After a time without requests the count
   * says little of it, so it is bounded; and it is one window at least.
   */
  private long countedWindowMicros(long nowMicros) {
    return Math.min(
        MAX_WINDOWS_COUNTED * WINDOW_MICROS,
        Math.max(WINDOW_MICROS, nowMicros - windowStartMicros));
  }

  private void deactivateIdle() {
    for (Quota quota : activeQuotas) {
      if (quota.isIdleLongerThan(MAX_IDLE_WINDOWS)) {
        quota.deactivate();
      }
    }
    activeQuotas.removeIf(quota -> !quota.isActive());
  }

  private static void divideAmongClasses(Quota quota, double seconds, long nowMicros) {
    for (Quota classQuota : quota.classQuotas()) {
      classQuota.endWindow(seconds);
    }
    RateDivision.divide(
        quota.rateLimit().perSecond(), Arrays.asList(quota.classQuotas()), List.of(), nowMicros);
  }
}

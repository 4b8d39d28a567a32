package shelffront.quota;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Admits the requests of tenants: divides the request rate of a gateway, and its slots for open
 * requests, among tenants by weight.
 *
 * <p>Invariants: an admitted request holds a slot until {@link #release}. The division is
 * work-conserving: capacity that one tenant leaves idle is available to others. A tenant regains
 * its own rate within {@link #WINDOW_MICROS}, and its own slots as the open requests of others end.
 * If a tenant assigns weights to its request classes, its rate is divided among them in the same
 * way. Idle tenants cost nothing: the rate is divided at the first request after the end of a
 * window, and only among tenants with recent requests.
 *
 * <p>Threads: belongs to one event loop. The loops of a gateway share one {@link SharedCapacity}.
 * At each division, a loop publishes the demand of its tenants, includes the demand published by
 * the other loops, and grants its own tenants their shares. All loops thus arrive at the same
 * division, at most one window late, without waiting for each other. Times are microseconds and
 * never decrease.
 */
public final class TenantQuotas {

  /**
   * Interval between divisions of the rate: the time within which a change of demand or weight
   * takes effect.
   */
  public static final long WINDOW_MICROS = 100_000;

  /**
   * Number of windows without a request after which a tenant no longer takes part in the division.
   */
  private static final int MAX_IDLE_WINDOWS = 20;

  /**
   * Fraction of all slots up to which tenants may exceed their own slots; the rest is reserved for
   * tenants that do not use all of their own.
   */
  private static final double LENDABLE_FRACTION = 0.75;

  /** Maximum number of windows over which demand is measured after a period without requests. */
  private static final long MAX_WINDOWS_COUNTED = 10;

  private static final double MICROS_PER_SECOND = 1e6;

  private final SharedCapacity capacity;
  private final int loop;
  private final List<Quota> activeQuotas = new ArrayList<>();
  private double activeWeight; // sum over activeQuotas
  private double weightOfOtherLoops;
  private long windowStartMicros;
  private boolean weightsChanged; // since the rate was last divided

  /**
   * Creates the quotas of a gateway with a single event loop.
   *
   * @param requestsPerSecond request rate of the gateway; 0 for no limit
   * @param maxOpenRequests maximum number of open requests of all tenants together
   */
  public TenantQuotas(double requestsPerSecond, int maxOpenRequests, long nowMicros) {
    this(new SharedCapacity(requestsPerSecond, maxOpenRequests, 1), 0, nowMicros);
  }

  /**
   * Creates the quotas of one of several event loops.
   *
   * @param loop index of the loop, from 0
   */
  public TenantQuotas(SharedCapacity capacity, int loop, long nowMicros) {
    this.capacity = capacity;
    this.loop = loop;
    windowStartMicros = nowMicros;
  }

  /**
   * Creates the quota of a new tenant.
   *
   * @param weight weight of the tenant, above 0
   * @param classWeights weight of each request class, above 0; null if the classes have no quotas
   */
  public Quota register(double weight, double[] classWeights) {
    return new Quota(weight, classWeights);
  }

  /** Changes the weights of a tenant and of its classes; they take effect at the next request. */
  public void updateWeights(Quota quota, double weight, double[] classWeights) {
    activeWeight += quota.isActive() ? weight - quota.weight() : 0;
    quota.setWeights(weight, classWeights);
    weightsChanged = true;
  }

  /**
   * Removes a tenant from the division. Its open requests must still be ended by {@link #release}.
   */
  public void unregister(Quota quota) {
    if (activeQuotas.remove(quota)) {
      quota.deactivate();
      activeWeight -= quota.weight();
    }
  }

  /**
   * Admits a request, which then holds a slot until {@link #release}, or rejects it.
   *
   * @return 0 if the request is admitted; otherwise the time in microseconds after which a retry
   *     may be admitted
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
    if (waitMicros > 0 || !capacity.tryTakeSlot(maxSlotsFor(quota))) {
      return Math.max(waitMicros, WINDOW_MICROS);
    }
    quota.rateLimit().consume();
    if (classQuota != null) {
      classQuota.rateLimit().consume();
    }
    quota.countOpened();
    return 0;
  }

  /** Ends an admitted request, whose final response has been sent. */
  public void release(Quota quota) {
    quota.countClosed();
    capacity.releaseSlot();
  }

  /** Number of open requests of all tenants of all loops. */
  public int openRequests() {
    return capacity.openRequests();
  }

  /**
   * Grants a tenant its share of the rate at once; the rates of the others are reduced at the next
   * division.
   */
  private void activate(Quota quota, long nowMicros) {
    quota.activate();
    activeQuotas.add(quota);
    activeWeight += quota.weight();
    double perSecond =
        capacity.requestsPerSecond() * quota.weight() / (activeWeight + weightOfOtherLoops);
    RateDivision.grant(quota, perSecond, nowMicros);
  }

  /** Time in microseconds until both rate limits allow a request; 0 if they allow it now. */
  private static long waitMicros(Quota quota, Quota classQuota, long nowMicros) {
    long classWaitMicros = classQuota == null ? 0 : classQuota.rateLimit().waitMicros(nowMicros);
    return Math.max(quota.rateLimit().waitMicros(nowMicros), classWaitMicros);
  }

  /** This tenant may take another slot while all tenants together hold fewer slots than this. */
  private double maxSlotsFor(Quota quota) {
    int slots = capacity.maxOpenRequests();
    return quota.openRequests() >= ownSlots(quota) ? slots * LENDABLE_FRACTION : slots;
  }

  /**
   * Number of slots that belong to a tenant, by its weight among the active tenants. A tenant that
   * is active alone still leaves some slots for the next one.
   */
  private double ownSlots(Quota quota) {
    int slots = capacity.maxOpenRequests();
    double byWeight = Math.floor(slots * quota.weight() / (activeWeight + weightOfOtherLoops));
    return Math.max(1, Math.min(slots * LENDABLE_FRACTION, byWeight));
  }

  /** Ends the window: measures demand, publishes it, and grants each active tenant its rate. */
  private void divideRate(long nowMicros) {
    double seconds = countedWindowMicros(nowMicros) / MICROS_PER_SECOND;
    windowStartMicros = nowMicros;
    activeQuotas.forEach(quota -> quota.endWindow(seconds));
    deactivateIdle();
    activeWeight = activeQuotas.stream().mapToDouble(Quota::weight).sum();
    capacity.publish(loop, PublishedDemand.of(activeQuotas, nowMicros));
    List<PublishedDemand> others = capacity.recentDemandsOfOtherLoops(loop, nowMicros);
    weightOfOtherLoops = PublishedDemand.weightsOf(others).sum();
    if (capacity.requestsPerSecond() > 0) {
      RateDivision.divide(capacity.requestsPerSecond(), activeQuotas, others, nowMicros);
      activeQuotas.stream()
          .filter(Quota::hasClassQuotas)
          .forEach(quota -> divideAmongClasses(quota, seconds, nowMicros));
    }
  }

  /**
   * Time over which the demand of the window is measured: at least one window, and bounded, because
   * the request count says little about a long period without requests.
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

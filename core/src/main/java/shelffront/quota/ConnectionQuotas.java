package shelffront.quota;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Divides resources that are held for a long time, such as sockets, among tenants by weight.
 *
 * <p>Invariants: the connections held never exceed the total. The division is work-conserving: a
 * tenant may exceed its fair share while the connections in use are below a fraction of the total;
 * the rest is reserved for tenants below their fair share. When a tenant below its fair share finds
 * none left, the tenant furthest above its fair share is asked to release a connection, and the
 * waiting tenant is notified when one is released. Fair shares are computed among the tenants that
 * hold or wait for a connection.
 *
 * <p>Threads: thread-safe and non-blocking. Both callbacks run on the thread that releases or
 * acquires, so they may only post a task to the thread of their own tenant.
 */
public final class ConnectionQuotas {

  /** Fraction of the total up to which tenants may exceed their fair shares. */
  private static final double LENDABLE_FRACTION = 0.75;

  private final int total;
  private final AtomicInteger inUse = new AtomicInteger();

  /** Total weight of the tenants that hold or wait for a connection. */
  private final AtomicLong weightUnits = new AtomicLong();

  private final Set<ConnectionQuota> holders = ConcurrentHashMap.newKeySet();
  private final ConcurrentLinkedQueue<ConnectionQuota> waiting = new ConcurrentLinkedQueue<>();

  /** Creates quotas for a total number of connections of all tenants. */
  public ConnectionQuotas(int total) {
    this.total = total;
  }

  /**
   * Creates the quota of a new tenant.
   *
   * @param weight weight of the tenant, above 0
   * @param maxConnections maximum number of connections of the tenant
   * @param reclaimCallback asks the tenant to release a connection as soon as it can
   * @param availableCallback notifies the tenant, after {@link Acquisition#PENDING}, that a
   *     connection has been released
   */
  public ConnectionQuota register(
      double weight, int maxConnections, Runnable reclaimCallback, Runnable availableCallback) {
    return new ConnectionQuota(this, weight, maxConnections, reclaimCallback, availableCallback);
  }

  /** Number of connections held by all tenants. */
  public int inUse() {
    return inUse.get();
  }

  int total() {
    return total;
  }

  long weightUnits() {
    return weightUnits.get();
  }

  void addWeight(long units) {
    weightUnits.addAndGet(units);
  }

  void setHolding(ConnectionQuota quota, boolean holds) {
    if (holds) {
      holders.add(quota);
    } else {
      holders.remove(quota);
    }
  }

  /**
   * Takes a connection, up to the total for a tenant within its fair share, otherwise up to the
   * lendable fraction of the total.
   */
  boolean tryTakeOne(boolean withinFairShare) {
    double bound = withinFairShare ? total : total * LENDABLE_FRACTION;
    int taken = inUse.get();
    while (taken < bound && !inUse.compareAndSet(taken, taken + 1)) {
      taken = inUse.get();
    }
    return taken < bound;
  }

  void returnOne() {
    inUse.decrementAndGet();
  }

  /** Returns the quota furthest above its fair share, or null if none is above it. */
  ConnectionQuota furthestAboveFairShare() {
    ConnectionQuota furthest = null;
    for (ConnectionQuota holder : holders) {
      int furthestExcess = furthest == null ? 0 : furthest.excess();
      furthest = holder.excess() > furthestExcess ? holder : furthest;
    }
    return furthest;
  }

  void enqueue(ConnectionQuota quota) {
    waiting.add(quota);
  }

  void notifyNext() {
    ConnectionQuota next = waiting.poll();
    if (next != null) {
      next.notifyAvailable();
    }
  }
}

package shelffront.quota;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Divides what is held for long, such as sockets, among tenants by weight.
 *
 * <p>Invariants: never more are held than the total. Division is work conserving: what others leave
 * may be held too, up to a fraction of all; the rest is kept for those below their own part. Where
 * that is used up, the tenant furthest beyond its part is asked to release one, and whoever waits
 * is notified when one has come free. Only those that hold or wait for something count for the
 * parts.
 *
 * <p>Threads: any may call, and nothing waits. Both callbacks are run by whichever thread releases
 * or acquires, so they may only post to the tenant's own.
 */
public final class ConnectionQuotas {

  /** Part of all that holders may fill beyond their own parts. */
  private static final double LENDABLE_FRACTION = 0.75;

  private final int total;
  private final AtomicInteger inUse = new AtomicInteger();
  private final AtomicLong weightUnits = new AtomicLong(); // of those that hold or wait
  private final Set<ConnectionQuota> holders = ConcurrentHashMap.newKeySet();
  private final ConcurrentLinkedQueue<ConnectionQuota> waiting = new ConcurrentLinkedQueue<>();

  /** So many for all together. */
  public ConnectionQuotas(int total) {
    this.total = total;
  }

  /**
   * Gives a new tenant its quota; its weight is above 0.
   *
   * @param reclaimOne asks it to release one, soon, if it can
   * @param oneAvailable notifies it that one has come free after {@link Acquisition#PENDING}
   */
  public ConnectionQuota register(
      double weight, int maxConnections, Runnable reclaimOne, Runnable oneAvailable) {
    return new ConnectionQuota(this, weight, maxConnections, reclaimOne, oneAvailable);
  }

  /** Held by all. */
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

  /** Takes one; beyond a tenant's own part only while enough is left for the others. */
  boolean tryTake(boolean own) {
    double bound = own ? total : total * LENDABLE_FRACTION;
    int taken = inUse.get();
    while (taken < bound && !inUse.compareAndSet(taken, taken + 1)) {
      taken = inUse.get();
    }
    return taken < bound;
  }

  void giveBack() {
    inUse.decrementAndGet();
  }

  /** The holder furthest beyond its part; null where nobody is beyond. */
  ConnectionQuota furthestBeyondPart() {
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

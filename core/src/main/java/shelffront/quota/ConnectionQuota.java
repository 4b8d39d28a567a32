package shelffront.quota;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * The connection quota of one tenant, created by {@link ConnectionQuotas}. Its fair share is the
 * total divided by weight among the tenants that hold or wait for a connection, and at least one
 * connection.
 *
 * <p>Threads: methods are called on the thread of the tenant. Other threads only read the counts
 * and run the callbacks.
 */
public final class ConnectionQuota {

  /**
   * Weights are summed in thousandths, as integers, so that the sum does not depend on the order of
   * the updates.
   */
  private static final double UNITS_PER_WEIGHT = 1000;

  private final ConnectionQuotas quotas;
  private final Runnable reclaimCallback;
  private final Runnable availableCallback;
  private final AtomicInteger inUse = new AtomicInteger();
  private volatile long weightUnits;
  private volatile int maxConnections;
  private boolean waiting;
  private volatile boolean weightCounted; // whether the total weight includes this quota

  ConnectionQuota(
      ConnectionQuotas quotas,
      double weight,
      int maxConnections,
      Runnable reclaimCallback,
      Runnable availableCallback) {
    this.quotas = quotas;
    this.reclaimCallback = reclaimCallback;
    this.availableCallback = availableCallback;
    this.maxConnections = maxConnections;
    weightUnits = units(weight);
  }

  private static long units(double weight) {
    return Math.max(1, Math.round(weight * UNITS_PER_WEIGHT));
  }

  /**
   * Changes weight and maximum. Connections held beyond the new values are not reclaimed at once.
   */
  public void update(double weight, int newMaxConnections) {
    long newUnits = units(weight);
    if (weightCounted) {
      quotas.addWeight(newUnits - weightUnits);
    }
    weightUnits = newUnits;
    maxConnections = newMaxConnections;
  }

  /**
   * Tries to acquire a connection.
   *
   * @param replacing whether the tenant has just released a connection in exchange, in which case
   *     its fair share is not checked
   */
  public Acquisition tryAcquire(boolean replacing) {
    int held = inUse.get();
    boolean withinFairShare = held < fairShare();
    if (held >= maxConnections || !quotas.tryTakeOne(withinFairShare || replacing)) {
      boolean canReclaim = held < maxConnections && withinFairShare && requestReclaim();
      return canReclaim ? Acquisition.PENDING : Acquisition.REJECTED;
    }
    inUse.incrementAndGet();
    updateWeightCounted();
    return Acquisition.ACQUIRED;
  }

  /** Includes the weight in the total while the tenant holds or waits for a connection. */
  private void updateWeightCounted() {
    if (weightCounted != (waiting || inUse.get() > 0)) {
      weightCounted = !weightCounted;
      quotas.addWeight(weightCounted ? weightUnits : -weightUnits);
    }
    quotas.setHolding(this, inUse.get() > 0);
  }

  /**
   * Asks the tenant furthest above its fair share to release a connection; returns false if no
   * tenant is above its fair share.
   */
  private boolean requestReclaim() {
    boolean wasWaiting = waiting;
    waiting = true;
    updateWeightCounted(); // adds this weight, which reduces the fair shares of the others
    ConnectionQuota furthest = quotas.furthestAboveFairShare();
    if (furthest == null) {
      waiting = wasWaiting;
      updateWeightCounted();
      return false;
    }
    if (!wasWaiting) {
      quotas.enqueue(this);
    }
    furthest.reclaimCallback.run();
    return true;
  }

  /** Releases a connection and notifies the first tenant that waits for one. */
  public void release() {
    inUse.decrementAndGet();
    updateWeightCounted();
    quotas.returnOne();
    quotas.notifyNext();
  }

  void notifyAvailable() {
    availableCallback.run();
  }

  /**
   * To be called on the thread of the tenant once {@code availableCallback} has been delivered
   * there.
   */
  public void acknowledgeAvailable() {
    waiting = false;
    updateWeightCounted();
  }

  /**
   * Number of connections held above the fair share; 0 or less if the tenant does not exceed it.
   */
  public int excess() {
    return inUse.get() - fairShare();
  }

  /** Number of connections held now. */
  public int inUse() {
    return inUse.get();
  }

  private int fairShare() {
    long totalUnits = quotas.weightUnits() + (weightCounted ? 0 : weightUnits);
    return (int) Math.max(1, quotas.total() * weightUnits / Math.max(weightUnits, totalUnits));
  }
}

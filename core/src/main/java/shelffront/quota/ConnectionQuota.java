package shelffront.quota;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * One tenant's quota of connections; {@link ConnectionQuotas} gives it out. Its part is its weight
 * among those that hold or wait for a connection, and one at least.
 *
 * <p>Threads: the tenant's own thread calls; others only read the counts and call the callbacks.
 */
public final class ConnectionQuota {

  /** Weights are summed in thousandths: whole numbers give the same sum in any order. */
  private static final double UNITS_PER_WEIGHT = 1000;

  private final ConnectionQuotas shared;
  private final Runnable reclaimOne;
  private final Runnable oneAvailable;
  private final AtomicInteger inUse = new AtomicInteger();
  private volatile long weightUnits;
  private volatile int maxConnections;
  private boolean waiting;
  private volatile boolean counted; // its weight is in the shared sum

  ConnectionQuota(
      ConnectionQuotas shared,
      double weight,
      int maxConnections,
      Runnable reclaimOne,
      Runnable oneAvailable) {
    this.shared = shared;
    this.reclaimOne = reclaimOne;
    this.oneAvailable = oneAvailable;
    this.maxConnections = maxConnections;
    weightUnits = units(weight);
  }

  private static long units(double weight) {
    return Math.max(1, Math.round(weight * UNITS_PER_WEIGHT));
  }

  /** Changes the figures; what is held beyond them is not taken away at once. */
  public void update(double weight, int newMaxConnections) {
    long newUnits = units(weight);
    if (counted) {
      shared.addWeight(newUnits - weightUnits);
    }
    weightUnits = newUnits;
    maxConnections = newMaxConnections;
  }

  /**
   * Asks for a connection.
   *
   * @param replacing whether one has just been released for this; its part is not asked after then
   */
  public Acquisition tryAcquire(boolean replacing) {
    int held = inUse.get();
    boolean withinPart = held < part();
    if (held >= maxConnections || !shared.tryTake(withinPart || replacing)) {
      boolean isOwed = held < maxConnections && withinPart && reclaimFromFurthest();
      return isOwed ? Acquisition.PENDING : Acquisition.REJECTED;
    }
    inUse.incrementAndGet();
    updateCounted();
    return Acquisition.ACQUIRED;
  }

  /** Has its weight counted while it holds or waits for a connection. */
  private void updateCounted() {
    if (counted != (waiting || inUse.get() > 0)) {
      counted = !counted;
      shared.addWeight(counted ? weightUnits : -weightUnits);
    }
    shared.setHolding(this, inUse.get() > 0);
  }

  /** Asks the one furthest beyond its part for a connection; false where nobody is beyond. */
  private boolean reclaimFromFurthest() {
    boolean wasWaiting = waiting;
    waiting = true;
    updateCounted(); // its weight makes the others' parts smaller
    ConnectionQuota furthest = shared.furthestBeyondPart();
    if (furthest == null) {
      waiting = wasWaiting;
      updateCounted();
      return false;
    }
    if (!wasWaiting) {
      shared.enqueue(this);
    }
    furthest.reclaimOne.run();
    return true;
  }

  /** Releases a connection, and notifies the first that waits for one. */
  public void release() {
    inUse.decrementAndGet();
    updateCounted();
    shared.giveBack();
    shared.notifyNext();
  }

  void notifyAvailable() {
    oneAvailable.run();
  }

  /** To be called by its own thread once {@code oneAvailable} has reached it. */
  public void acknowledgeAvailable() {
    waiting = false;
    updateCounted();
  }

  /** How many it holds beyond its part; 0 or less where it holds no more than that. */
  public int excess() {
    return inUse.get() - part();
  }

  /** Connections that it holds now. */
  public int inUse() {
    return inUse.get();
  }

  private int part() {
    long allUnits = shared.weightUnits() + (counted ? 0 : weightUnits);
    return (int) Math.max(1, shared.total() * weightUnits / Math.max(weightUnits, allUnits));
  }
}

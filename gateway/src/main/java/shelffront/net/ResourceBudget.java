package shelffront.net;

import java.util.concurrent.atomic.AtomicLong;

/**
 * A limit on a counted resource, such as bytes of buffers. Amounts that are acquired must be
 * released. A budget may have a parent; each amount then counts in both. Thread-safe, because event
 * loops share a parent.
 */
public final class ResourceBudget {

  private final ResourceBudget parent;
  private final AtomicLong held = new AtomicLong();
  private volatile long limit;

  public ResourceBudget(long limit) {
    this(null, limit);
  }

  /** Creates a child budget, whose amounts are also acquired from the parent. */
  public ResourceBudget(ResourceBudget parent, long limit) {
    this.parent = parent;
    this.limit = limit;
  }

  /**
   * Changes the limit. Amounts held beyond a lower limit are kept, and further ones are denied
   * until enough has been released.
   */
  public void updateLimit(long newLimit) {
    limit = newLimit;
  }

  /** Acquires the amount here and in all parents, or nothing if any limit would be exceeded. */
  public boolean tryAcquire(long amount) {
    long before = held.get();
    while (amount <= limit - before && !held.compareAndSet(before, before + amount)) {
      before = held.get();
    }
    if (amount > limit - before) {
      return false;
    }
    if (parent != null && !parent.tryAcquire(amount)) {
      held.addAndGet(-amount);
      return false;
    }
    return true;
  }

  /** Releases an amount that {@link #tryAcquire} acquired. */
  public void release(long amount) {
    held.addAndGet(-amount);
    if (parent != null) {
      parent.release(amount);
    }
  }

  public long held() {
    return held.get();
  }
}

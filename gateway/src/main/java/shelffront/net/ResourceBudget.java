package shelffront.net;

import java.util.concurrent.atomic.AtomicLong;

/**
 * A limit on a counted resource, such as bytes of buffers. What is acquired must be released. A
 * budget may have a parent, and then what it holds counts in both. Any thread may call: event loops
 * share a parent.
 */
public final class ResourceBudget {

  private final ResourceBudget parent;
  private final AtomicLong held = new AtomicLong();
  private volatile long limit;

  public ResourceBudget(long limit) {
    this(null, limit);
  }

  /** A child of another budget: what is acquired here is acquired there too. */
  public ResourceBudget(ResourceBudget parent, long limit) {
    this.parent = parent;
    this.limit = limit;
  }

  /**
   * Changes the limit. What is held beyond it is kept, and nothing more is given until enough was
   * released.
   */
  public void updateLimit(long newLimit) {
    limit = newLimit;
  }

  /** Acquires the amount here and in the parents, or nothing; false where a limit is exceeded. */
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

  /** Releases what {@link #tryAcquire} acquired. */
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

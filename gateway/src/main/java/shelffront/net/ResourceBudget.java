package shelffront.net;

import java.util.concurrent.atomic.AtomicLong;

/**
 * A limit on a counted resource, such as bytes of buffers. Amounts that are acquired must be
 * released. A budget may have a parent; each amount then counts in both. Thread-safe, because event
 * loops share a parent.
 */
public final class ResourceBudget {

  /** The part of a limit that is left to requests that have been accepted. */
  private static final long ACCEPTED_REQUESTS_DIVISOR = 4;

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
    return tryAcquire(amount, false);
  }

  /**
   * Acquires the amount for a request that has not been accepted yet. A quarter of each limit is
   * left to those that have been, so that clients whose requests arrive slowly do not take the
   * memory for the responses to others.
   */
  public boolean tryAcquireForNewRequest(long amount) {
    return tryAcquire(amount, true);
  }

  private boolean tryAcquire(long amount, boolean forNewRequest) {
    long usable = forNewRequest ? limit - limit / ACCEPTED_REQUESTS_DIVISOR : limit;
    long before = held.get();
    while (amount <= usable - before && !held.compareAndSet(before, before + amount)) {
      before = held.get();
    }
    if (amount > usable - before) {
      return false;
    }
    if (parent != null && !parent.tryAcquire(amount, forNewRequest)) {
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

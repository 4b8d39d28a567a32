package shelffront.net;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Something counted that those who share it may hold only so much of: bytes of buffers, sockets.
 * What is taken must be given back. A budget may be a part of a greater one, and then counts in
 * both. Any thread may call: several event loops share the greatest.
 */
public final class ResourceBudget {

  private final ResourceBudget parent;
  private final AtomicLong held = new AtomicLong();
  private volatile long limit;

  public ResourceBudget(long most) {
    this(null, most);
  }

  /** A part of another; what is taken here is taken there too. */
  public ResourceBudget(ResourceBudget whole, long most) {
    this.parent = whole;
    this.limit = most;
  }

  /**
   * Changes the bound; what is held beyond it is not taken away, but nothing more is given until it
   * is under it.
   */
  public void updateLimit(long newMost) {
    limit = newMost;
  }

  /** Takes the amount from this budget and its parents, or nothing; false where one is short. */
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

  /** Returns what {@link #tryAcquire} took. */
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

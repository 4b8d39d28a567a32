package shelffront.net;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Something counted that those who share it may hold only so much of: bytes of buffers, sockets.
 * What is taken must be given back. A budget may be a part of a greater one, and then counts in
 * both. Any thread may call: several event loops share the greatest.
 */
public final class ResourceBudget {

  private final ResourceBudget whole;
  private final AtomicLong held = new AtomicLong();
  private volatile long most;

  public ResourceBudget(long most) {
    this(null, most);
  }

  /** A part of another; what is taken here is taken there too. */
  public ResourceBudget(ResourceBudget whole, long most) {
    this.whole = whole;
    this.most = most;
  }

  /**
   * Changes the bound; what is held beyond it is not taken away, but nothing more is given until it
   * is under it.
   */
  public void bound(long newMost) {
    most = newMost;
  }

  public boolean take(long amount) {
    long before = held.get();
    while (amount <= most - before && !held.compareAndSet(before, before + amount)) {
      before = held.get();
    }
    if (amount > most - before) {
      return false;
    }
    if (whole != null && !whole.take(amount)) {
      held.addAndGet(-amount);
      return false;
    }
    return true;
  }

  public void giveBack(long amount) {
    held.addAndGet(-amount);
    if (whole != null) {
      whole.giveBack(amount);
    }
  }

  public long held() {
    return held.get();
  }
}

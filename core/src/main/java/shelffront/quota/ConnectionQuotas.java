package shelffront.quota;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Divides things that are held for long, such as sockets, among tenants by weight. Work conserving:
 * what others leave may be held too, up to a part of all; the rest is there for whoever holds less
 * than its own part. Where that is used up, the one furthest beyond its part is asked to give one
 * back, and whoever waits is told when one has come.
 *
 * <p>A tenant's part counts those who hold anything now or wait for it. Any thread may call;
 * nothing waits. Both callbacks are called by whichever thread gives back or takes, so they only
 * pass the word on.
 */
public final class ConnectionQuotas {

  /** Part of all that holders may fill beyond their own parts. */
  private static final double LENT = 0.75;

  private static final double UNIT =
      1000; // weights are summed in thousandths, to the same sum in any order

  /** What came of asking for one. */
  public enum Acquisition {
    /** It holds one more. */
    ACQUIRED,
    /** It holds all that its own bound allows, or what is lent out is used up; it has its part. */
    REJECTED,
    /** Others hold what is its own; it is told when one has been given back. */
    PENDING
  }

  /** One tenant's. Its figures belong to its own thread. */
  public final class ConnectionQuota {

    private final Runnable giveOneBack;
    private final Runnable oneCame;
    private final AtomicInteger mine = new AtomicInteger();
    private volatile long units;
    private volatile int most;
    private boolean waits;
    private volatile boolean counted; // its weight is in the sum

    private ConnectionQuota(double weight, int most, Runnable giveOneBack, Runnable oneCame) {
      units = Math.max(1, Math.round(weight * UNIT));
      this.most = most;
      this.giveOneBack = giveOneBack;
      this.oneCame = oneCame;
    }

    /** Changes the figures; what is held beyond them is not taken away at once. */
    public void update(double weight, int newMost) {
      long next = Math.max(1, Math.round(weight * UNIT));
      if (counted) {
        weights.addAndGet(next - units);
      }
      units = next;
      most = newMost;
    }

    /**
     * Asks for one. With {@code instead} it has just given one back for this, and its part is not
     * asked after.
     */
    public Acquisition tryAcquire(boolean instead) {
      int now = mine.get();
      boolean own = now < part();
      if (now >= most || !tryAcquire(own || instead ? total : total * LENT)) {
        return now < most && own && owed() ? Acquisition.PENDING : Acquisition.REJECTED;
      }
      mine.incrementAndGet();
      count();
      return Acquisition.ACQUIRED;
    }

    private void count() {
      if (counted != (waits || mine.get() > 0)) {
        counted = !counted;
        weights.addAndGet(counted ? units : -units);
      }
      if (mine.get() > 0) {
        holders.add(this);
      } else {
        holders.remove(this);
      }
    }

    private boolean tryAcquire(double bound) {
      int before = held.get();
      while (before < bound && !held.compareAndSet(before, before + 1)) {
        before = held.get();
      }
      return before < bound;
    }

    /** Asks the one furthest beyond its part for one; false where nobody is beyond. */
    private boolean owed() {
      boolean already = waits;
      waits = true;
      count(); // its weight makes the others' parts smaller
      ConnectionQuota furthest = null;
      for (ConnectionQuota h : holders) {
        furthest = h.excess() > (furthest == null ? 0 : furthest.excess()) ? h : furthest;
      }
      if (furthest == null) {
        waits = already;
        count();
        return false;
      }
      if (!already) {
        waiting.add(this);
      }
      furthest.giveOneBack.run();
      return true;
    }

    /** Gives one back. */
    public void release() {
      mine.decrementAndGet();
      count();
      held.decrementAndGet();
      ConnectionQuota next = waiting.poll();
      if (next != null) {
        next.oneCame.run();
      }
    }

    /** To be called by its own thread once {@code oneCame} has reached it. */
    public void acknowledgeAvailable() {
      waits = false;
      count();
    }

    /** How many it holds beyond its part; 0 or less where it has not more than that. */
    public int excess() {
      return mine.get() - part();
    }

    public int inUse() {
      return mine.get();
    }

    private int part() {
      long all = weights.get() + (counted ? 0 : units);
      return (int) Math.max(1, total * units / Math.max(units, all));
    }
  }

  private final int total;
  private final AtomicInteger held = new AtomicInteger();
  private final AtomicLong weights = new AtomicLong(); // of those that hold any
  private final Set<ConnectionQuota> holders = ConcurrentHashMap.newKeySet();
  private final ConcurrentLinkedQueue<ConnectionQuota> waiting = new ConcurrentLinkedQueue<>();

  /** So many for all together. */
  public ConnectionQuotas(int total) {
    this.total = total;
  }

  /**
   * A new tenant's; its weight is above 0.
   *
   * @param giveOneBack asks it to give one back, soon, if it can
   * @param oneCame tells it that one has come free after {@link Acquisition#PENDING}
   */
  public ConnectionQuota register(double weight, int most, Runnable giveOneBack, Runnable oneCame) {
    return new ConnectionQuota(weight, most, giveOneBack, oneCame);
  }

  /** Held by all. */
  public int inUse() {
    return held.get();
  }
}

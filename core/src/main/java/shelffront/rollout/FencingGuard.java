package shelffront.rollout;

/**
 * Fences operations by their epoch, where they take effect. The last guard, for a gateway that was
 * stopped between looking at its lease and acting, which no lease can prevent.
 *
 * <p>Invariant: the epoch of what it admits never falls. Threads: belongs to one.
 */
public final class FencingGuard {

  private long newestEpoch;

  /** Whether an operation under this epoch is admitted: none newer was admitted before it. */
  public boolean admits(long epoch) {
    newestEpoch = Math.max(newestEpoch, epoch);
    return epoch == newestEpoch;
  }

  /** The newest epoch that was admitted; 0 before the first. */
  public long newestEpoch() {
    return newestEpoch;
  }
}

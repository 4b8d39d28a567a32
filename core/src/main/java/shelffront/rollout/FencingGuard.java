package shelffront.rollout;

/**
 * Rejects operations with an outdated fencing token (epoch) at the resource that they change. This
 * covers the case that a lease cannot: a gateway that is paused between checking its lease and
 * executing the operation.
 *
 * <p>Invariant: the epochs of admitted operations never decrease. Threads: confined to one thread.
 */
public final class FencingGuard {

  private long newestEpoch;

  /** Admits an operation unless an operation with a newer epoch has been admitted before. */
  public boolean admits(long epoch) {
    newestEpoch = Math.max(newestEpoch, epoch);
    return epoch == newestEpoch;
  }

  /** Returns the newest admitted epoch, or 0 if no operation has been admitted. */
  public long newestEpoch() {
    return newestEpoch;
  }
}

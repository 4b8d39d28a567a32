package shelffront.rollout;

/**
 * Where acts are taken: refuses one under an epoch older than the newest taken. The last guard, for
 * a gateway that was stopped between looking at its lease and acting, which no lease can prevent.
 */
public final class FencingGuard {

  private long newest;

  /** Whether the act is taken. */
  public boolean admits(long epoch) {
    newest = Math.max(newest, epoch);
    return epoch == newest;
  }

  /** The newest epoch under which an act was taken; 0 before the first. */
  public long newestEpoch() {
    return newest;
  }
}

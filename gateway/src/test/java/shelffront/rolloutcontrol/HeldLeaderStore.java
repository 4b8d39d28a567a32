package shelffront.rolloutcontrol;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import shelffront.coordination.InMemoryCoordinationStore;

/**
 * Holds the leader's thread once, just after it has read a rollout state and its members, until the
 * watch has reported a change that came later.
 */
final class HeldLeaderStore extends InMemoryCoordinationStore {

  private static final int TIMEOUT_SECONDS = 20;
  private static final String LEADER_THREAD = "stages-owner";
  private static final String MEMBERS = "/members/";

  private final CountDownLatch leaderHeld = new CountDownLatch(1);
  private final CountDownLatch changeReported = new CountDownLatch(1);

  /** Index of the store when the change was made; watches after it have reported the change. */
  private volatile long changeIndex = Long.MAX_VALUE;

  void awaitHeldLeader() throws InterruptedException {
    assertTrue(leaderHeld.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), "the leader read no state");
  }

  void releaseLeaderAfterWatchHasReportedTheChange() throws InterruptedException {
    changeIndex = list("").index();
    assertTrue(
        changeReported.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), "the watch reported no change");
  }

  @Override
  public Listing list(String prefix) {
    Listing listing = super.list(prefix);
    boolean hasMember = prefix.contains(MEMBERS) && !listing.values().isEmpty();
    if (hasMember && Thread.currentThread().getName().equals(LEADER_THREAD)) {
      leaderHeld.countDown();
      try {
        changeReported.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    return listing;
  }

  /** A watch after the change begins once the watcher has woken the others because of it. */
  @Override
  public Listing watch(String prefix, long after) {
    if (after >= changeIndex) {
      changeReported.countDown();
    }
    return super.watch(prefix, after);
  }
}

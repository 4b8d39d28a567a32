package shelffront.quota;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReferenceArray;

/**
 * Capacity that the event loops of one gateway share: a request rate, slots for open requests, and
 * the demand that each loop has published. The slots taken never exceed their number.
 *
 * <p>Threads: thread-safe and non-blocking. Each loop writes only its own published demand.
 */
public final class SharedCapacity {

  /**
   * Number of windows after which the published demand of another loop is ignored. A loop publishes
   * in every window in which it receives requests, so older demand belongs to a loop without
   * requests.
   */
  private static final int STALE_AFTER_WINDOWS = 3;

  private final double requestsPerSecond;
  private final int maxOpenRequests;
  private final AtomicInteger openRequests = new AtomicInteger();
  private final AtomicReferenceArray<PublishedDemand> publishedDemands;

  /**
   * Creates the capacity of one gateway.
   *
   * @param requestsPerSecond request rate of all loops together; 0 for no limit
   * @param maxOpenRequests maximum number of open requests of all loops together
   * @param loopCount number of event loops that share the capacity
   */
  public SharedCapacity(double requestsPerSecond, int maxOpenRequests, int loopCount) {
    this.requestsPerSecond = requestsPerSecond;
    this.maxOpenRequests = maxOpenRequests;
    publishedDemands = new AtomicReferenceArray<>(loopCount);
  }

  /** Number of open requests of all tenants of all loops. */
  public int openRequests() {
    return openRequests.get();
  }

  double requestsPerSecond() {
    return requestsPerSecond;
  }

  int maxOpenRequests() {
    return maxOpenRequests;
  }

  /**
   * Takes a slot if fewer slots than the bound are taken; otherwise takes none and returns false.
   */
  boolean tryTakeSlot(double bound) {
    int taken = openRequests.get();
    while (taken < bound && !openRequests.compareAndSet(taken, taken + 1)) {
      taken = openRequests.get();
    }
    return taken < bound;
  }

  void releaseSlot() {
    openRequests.decrementAndGet();
  }

  /** Publishes the demand of a loop, replacing its previous one. */
  void publish(int loop, PublishedDemand demand) {
    publishedDemands.set(loop, demand);
  }

  /**
   * Returns the demands of the other loops that are not older than {@link #STALE_AFTER_WINDOWS}.
   */
  List<PublishedDemand> recentDemandsOfOtherLoops(int loop, long nowMicros) {
    List<PublishedDemand> current = new ArrayList<>();
    for (int other = 0; other < publishedDemands.length(); other++) {
      PublishedDemand demand = publishedDemands.get(other);
      if (other != loop && demand != null && isRecent(demand, nowMicros)) {
        current.add(demand);
      }
    }
    return current;
  }

  private static boolean isRecent(PublishedDemand demand, long nowMicros) {
    return nowMicros - demand.atMicros() < STALE_AFTER_WINDOWS * TenantQuotas.WINDOW_MICROS;
  }
}

package shelffront.quota;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReferenceArray;

/**
 * The capacity that the event loops of one gateway share: a rate of requests, places for open
 * requests, and the demand that each loop has published. Never more places are taken than there
 * are.
 *
 * <p>Threads: any loop may call; the counts are atomic and nothing waits. Each loop writes its own
 * published demand only.
 */
public final class SharedCapacity {

  /**
   * Windows after which another loop's published demand no longer counts. A loop publishes in every
   * window in which it is asked, so an older one belongs to a loop without demand.
   */
  private static final int STALE_AFTER_WINDOWS = 3;

  private final double requestsPerSecond;
  private final int maxOpenRequests;
  private final AtomicInteger openRequests = new AtomicInteger();
  private final AtomicReferenceArray<PublishedDemand> publishedDemands;

  /**
   * The capacity of a whole gateway.
   *
   * @param requestsPerSecond of all loops together; 0 for no bound
   * @param maxOpenRequests requests that may be open at a time, of all loops together
   * @param loops how many event loops share it
   */
  public SharedCapacity(double requestsPerSecond, int maxOpenRequests, int loops) {
    this.requestsPerSecond = requestsPerSecond;
    this.maxOpenRequests = maxOpenRequests;
    publishedDemands = new AtomicReferenceArray<>(loops);
  }

  /** Requests that hold a place now, of all tenants of all loops. */
  public int openRequests() {
    return openRequests.get();
  }

  double requestsPerSecond() {
    return requestsPerSecond;
  }

  int maxOpenRequests() {
    return maxOpenRequests;
  }

  /** Takes a place where fewer than the bound are taken; false, and nothing is taken, elsewhere. */
  boolean tryTakePlace(double bound) {
    int taken = openRequests.get();
    while (taken < bound && !openRequests.compareAndSet(taken, taken + 1)) {
      taken = openRequests.get();
    }
    return taken < bound;
  }

  void releasePlace() {
    openRequests.decrementAndGet();
  }

  /** Replaces what this loop published before. */
  void publish(int loop, PublishedDemand demand) {
    publishedDemands.set(loop, demand);
  }

  /** What the other loops published within the last windows. */
  List<PublishedDemand> currentDemandsOfOthers(int loop, long nowMicros) {
    List<PublishedDemand> current = new ArrayList<>();
    for (int other = 0; other < publishedDemands.length(); other++) {
      PublishedDemand demand = publishedDemands.get(other);
      if (other != loop && demand != null && isCurrent(demand, nowMicros)) {
        current.add(demand);
      }
    }
    return current;
  }

  private static boolean isCurrent(PublishedDemand demand, long nowMicros) {
    return nowMicros - demand.atMicros() < STALE_AFTER_WINDOWS * TenantQuotas.WINDOW_MICROS;
  }
}

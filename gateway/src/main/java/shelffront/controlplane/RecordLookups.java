package shelffront.controlplane;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import shelffront.controlplane.DistributionException.LookupsFull;
import shelffront.distribution.NegativeCache;

/**
 * Lookups of names that the gateway does not subscribe to: the pending ones, and a negative cache
 * of names that had no record. Both are bounded, which limits the effect of a flood of unknown
 * names. Threads: guarded by the lock of its owner.
 */
final class RecordLookups {

  /** Maximum number of pending lookups, which is reached only while no distributor responds. */
  static final int MAX_PENDING = 10_000;

  private static final int MAX_ABSENT_NAMES = 10_000;
  private static final long ABSENT_TIME_TO_LIVE_MICROS = 5_000_000;

  private final NegativeCache absentNames =
      new NegativeCache(MAX_ABSENT_NAMES, ABSENT_TIME_TO_LIVE_MICROS);
  private final Map<String, CompletableFuture<Boolean>> pendingByName = new HashMap<>();

  /** Whether the negative cache contains the name. */
  boolean isAbsent(String name, long nowMicros) {
    return absentNames.contains(name, nowMicros);
  }

  /** The pending lookup of a name; null if there is none. */
  CompletableFuture<Boolean> pending(String name) {
    return pendingByName.get(name);
  }

  /** Registers a pending lookup for a name. */
  CompletableFuture<Boolean> begin(String name) throws LookupsFull {
    if (pendingByName.size() >= MAX_PENDING) {
      throw new LookupsFull(pendingByName.size());
    }
    CompletableFuture<Boolean> lookup = new CompletableFuture<>();
    pendingByName.put(name, lookup);
    return lookup;
  }

  void recordAbsent(String name, long nowMicros) {
    absentNames.add(name, nowMicros);
  }

  void recordPresent(String name) {
    absentNames.remove(name);
  }

  /** Completes the pending lookup of a name, if there is one. */
  void complete(String name, boolean isInForce) {
    CompletableFuture<Boolean> lookup = pendingByName.remove(name);
    if (lookup != null) {
      lookup.complete(isInForce);
    }
  }
}

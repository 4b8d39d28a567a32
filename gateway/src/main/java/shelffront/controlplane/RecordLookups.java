package shelffront.controlplane;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import shelffront.controlplane.DistributionException.LookupsFull;
import shelffront.distribution.NegativeCache;

/**
 * Names that were asked for and are not followed: those that wait for a distributor's answer, and
 * those that had no record when they were last asked for. Both are bounded, so that a flood of
 * names stops here. Threads: guarded by its owner.
 */
final class RecordLookups {

  /** Names that may wait for an answer, as while no distributor gives one. */
  static final int MAX_PENDING = 10_000;

  private static final int MAX_ABSENT_NAMES = 10_000;
  private static final long ABSENT_FOR_MICROS = 5_000_000;

  private final NegativeCache absentNames = new NegativeCache(MAX_ABSENT_NAMES, ABSENT_FOR_MICROS);
  private final Map<String, CompletableFuture<Boolean>> pendingByName = new HashMap<>();

  /** Whether the name is remembered to have no record. */
  boolean isAbsent(String name, long nowMicros) {
    return absentNames.contains(name, nowMicros);
  }

  /** The lookup that waits for this name's answer; null where none does. */
  CompletableFuture<Boolean> pending(String name) {
    return pendingByName.get(name);
  }

  /** Begins to wait for a name's answer. */
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

  /** Gives whoever waits for a name its answer. */
  void complete(String name, boolean isInForce) {
    CompletableFuture<Boolean> lookup = pendingByName.remove(name);
    if (lookup != null) {
      lookup.complete(isInForce);
    }
  }
}

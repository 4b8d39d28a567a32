package shelffront.distribution;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Caches names that had no record at their last lookup, so that many clients connecting with
 * unknown database names do not load the distributors. The cache is bounded and evicts the oldest
 * entry first. Times are microseconds. Threads: not thread-safe; guarded by its owner.
 */
public final class NegativeCache {

  private final long timeToLiveMicros;
  private final LinkedHashMap<String, Long> expiryByName;

  /** Creates a cache of at most {@code maxNames} names that each expire after the time to live. */
  public NegativeCache(int maxNames, long timeToLiveMicros) {
    this.timeToLiveMicros = timeToLiveMicros;
    expiryByName =
        new LinkedHashMap<>() {
          private static final long serialVersionUID = 1L;

          @Override
          protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > maxNames;
          }
        };
  }

  /** Adds a name without a record, or renews its entry and makes it the newest. */
  public void add(String name, long nowMicros) {
    expiryByName.remove(name);
    expiryByName.put(name, nowMicros + timeToLiveMicros);
  }

  /** Removes a name that has a record now. */
  public void remove(String name) {
    expiryByName.remove(name);
  }

  /** Returns whether the cache has an unexpired entry for the name. */
  public boolean contains(String name, long nowMicros) {
    Long expiresAtMicros = expiryByName.get(name);
    if (expiresAtMicros != null && nowMicros >= expiresAtMicros) {
      expiryByName.remove(name);
    }
    return expiresAtMicros != null && nowMicros < expiresAtMicros;
  }
}

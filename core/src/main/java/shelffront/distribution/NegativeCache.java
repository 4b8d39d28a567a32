package shelffront.distribution;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Names that had no record when they were last asked for, remembered for a while, so that a flood
 * of clients that name unknown databases stops here. Bounded: the one remembered for longest goes
 * first. Times are microseconds. Threads: guarded by its owner.
 */
public final class NegativeCache {

  private final long timeToLiveMicros;
  private final LinkedHashMap<String, Long> expiryByName;

  /** Remembers at most so many names, each for so long. */
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

  /** Remembers that a name has no record; it is the youngest from here on. */
  public void add(String name, long nowMicros) {
    expiryByName.remove(name);
    expiryByName.put(name, nowMicros + timeToLiveMicros);
  }

  /** It has a record now, whatever was remembered. */
  public void remove(String name) {
    expiryByName.remove(name);
  }

  /** Whether the name is remembered to have no record. */
  public boolean contains(String name, long nowMicros) {
    Long expiresAtMicros = expiryByName.get(name);
    if (expiresAtMicros != null && nowMicros >= expiresAtMicros) {
      expiryByName.remove(name);
    }
    return expiresAtMicros != null && nowMicros < expiresAtMicros;
  }
}

package shelffront.distribution;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Names that had no record when they were last asked for, remembered for a while, so that a flood
 * of clients that name nobody stops here. Bounded: the one remembered for longest goes first. Times
 * are microseconds.
 */
public final class NegativeCache {

  private final long rememberedFor;
  private final LinkedHashMap<String, Long> until;

  public NegativeCache(int most, long rememberedFor) {
    this.rememberedFor = rememberedFor;
    until =
        new LinkedHashMap<>() {
          private static final long serialVersionUID = 1L;

          @Override
          protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > most;
          }
        };
  }

  public void add(String name, long now) {
    until.remove(name);
    until.put(name, now + rememberedFor);
  }

  /** It has a record now, whatever was remembered. */
  public void remove(String name) {
    until.remove(name);
  }

  public boolean contains(String name, long now) {
    Long end = until.get(name);
    if (end != null && now >= end) {
      until.remove(name);
    }
    return end != null && now < end;
  }
}

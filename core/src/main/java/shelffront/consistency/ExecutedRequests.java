package shelffront.consistency;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Requests of the recent past that may have been executed, by id. A client may send a request once
 * more, for example because its connection ended, and what permits a further attempt then depends
 * on the earlier ones.
 *
 * <p>Invariant: at most a fixed number of requests is stored, each for a fixed time; the oldest is
 * dropped first. Times are microseconds and do not decrease. Not thread-safe.
 */
public final class ExecutedRequests {

  /**
   * The first attempt of a request that may have been executed.
   *
   * @param idempotencyKey the key by which hosts recognize a repeat; null if it has none
   * @param zone the zone of the host
   */
  public record Execution(long sentAtMicros, String idempotencyKey, int replicaSet, String zone) {}

  private record Entry(Execution execution, long recordedAtMicros) {}

  private final int maxRequests;
  private final long retentionMicros;

  /** In the order in which they were recorded. */
  private final Map<String, Entry> entries = new LinkedHashMap<>();

  /** Creates an empty store. */
  public ExecutedRequests(int maxRequests, long retentionMicros) {
    this.maxRequests = maxRequests;
    this.retentionMicros = retentionMicros;
  }

  /** Records an attempt that may have been executed; an earlier one of the request is kept. */
  public void record(String requestId, Execution execution, long nowMicros) {
    dropExpired(nowMicros);
    Entry known = entries.remove(requestId);
    entries.put(requestId, new Entry(known == null ? execution : known.execution(), nowMicros));
    if (entries.size() > maxRequests) {
      Iterator<String> oldest = entries.keySet().iterator();
      oldest.next();
      oldest.remove();
    }
  }

  /** The first attempt of this request that may have been executed; null if none is known. */
  public Execution find(String requestId, long nowMicros) {
    dropExpired(nowMicros);
    Entry known = entries.get(requestId);
    return known == null ? null : known.execution();
  }

  private void dropExpired(long nowMicros) {
    Iterator<Entry> oldestFirst = entries.values().iterator();
    while (oldestFirst.hasNext()
        && oldestFirst.next().recordedAtMicros() + retentionMicros < nowMicros) {
      oldestFirst.remove();
    }
  }

  /** Number of stored requests. */
  public int size() {
    return entries.size();
  }
}

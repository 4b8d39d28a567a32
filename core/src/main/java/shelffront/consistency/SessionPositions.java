package shelffront.consistency;

import static shelffront.routing.Router.UNKNOWN;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Positions of the last write of each session, as observed by this gateway.
 *
 * <p>Invariants: a bounded number of sessions is stored individually. Beyond that bound, the oldest
 * sessions are merged into one minimum position for their replica set, so the position required of
 * a read may be higher than necessary, but never lower. Not thread-safe.
 */
public final class SessionPositions {

  private record LastWrite(int replicaSet, long positionMicros) {

    static LastWrite later(LastWrite known, LastWrite added) {
      return added.positionMicros > known.positionMicros ? added : known;
    }
  }

  private final int maxSessions;
  private final LinkedHashMap<String, LastWrite> lastWrites = new LinkedHashMap<>();
  private final Map<Integer, Long> floors = new HashMap<>();

  /**
   * Creates an empty store.
   *
   * @param maxSessions number of sessions that are stored individually
   */
  public SessionPositions(int maxSessions) {
    this.maxSessions = maxSessions;
  }

  /**
   * Records that a write of the session was committed at the position; a position before the
   * recorded one is ignored.
   */
  public void recordWrite(String sessionId, int replicaSet, long positionMicros) {
    lastWrites.merge(sessionId, new LastWrite(replicaSet, positionMicros), LastWrite::later);
    if (lastWrites.size() > maxSessions) {
      foldOldest();
    }
  }

  private void foldOldest() {
    var oldest = lastWrites.entrySet().iterator();
    LastWrite folded = oldest.next().getValue();
    oldest.remove();
    floors.merge(folded.replicaSet, folded.positionMicros, Math::max);
  }

  /**
   * Position that a read of the session must see; {@code UNKNOWN} if no write of the session was
   * observed and no session of the replica set was merged.
   */
  public long requiredPosition(String sessionId, int replicaSet) {
    LastWrite lastWrite = lastWrites.get(sessionId);
    return Math.max(
        lastWrite == null ? UNKNOWN : lastWrite.positionMicros,
        floors.getOrDefault(replicaSet, UNKNOWN));
  }
}

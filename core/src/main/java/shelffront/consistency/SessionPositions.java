package shelffront.consistency;

import static shelffront.routing.Router.UNKNOWN;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The positions of the last writes that this gateway saw of sessions.
 *
 * <p>Invariants: a bounded number of sessions is remembered one by one; the oldest beyond it are
 * folded into one floor for their replica set, so that a read may be asked for too much, but never
 * for too little. Not safe for use by several threads.
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

  /** Remembers so many sessions one by one. */
  public SessionPositions(int maxSessions) {
    this.maxSessions = maxSessions;
  }

  /** A write of the session was committed at the position; an earlier one changes nothing. */
  public void recordWrite(String sessionId, int replicaSet, long positionMicros) {
    lastWrites.merge(sessionId, new LastWrite(replicaSet, positionMicros), LastWrite::later);
    if (lastWrites.size() > maxSessions) {
      foldOldest();
    }
  }

  private void foldOldest() {
    var eldest = lastWrites.entrySet().iterator();
    LastWrite folded = eldest.next().getValue();
    eldest.remove();
    floors.merge(folded.replicaSet, folded.positionMicros, Math::max);
  }

  /**
   * Position that a read of the session must see; {@code UNKNOWN} where none of its writes was seen
   * and none of its replica set was folded.
   */
  public long requiredPosition(String sessionId, int replicaSet) {
    LastWrite lastWrite = lastWrites.get(sessionId);
    return Math.max(
        lastWrite == null ? UNKNOWN : lastWrite.positionMicros,
        floors.getOrDefault(replicaSet, UNKNOWN));
  }
}

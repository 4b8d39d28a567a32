package shelffront.consistency;

import static shelffront.routing.Router.UNKNOWN;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The positions of the last writes that this instance saw of sessions: a bounded number of them,
 * the oldest folded into one floor for their group. What was folded is asked too much, never too
 * little.
 */
public final class SessionPositions {

  private record Mark(int group, long position) {}

  private final int most;
  private final LinkedHashMap<String, Mark> sessions = new LinkedHashMap<>();
  private final Map<Integer, Long> floors = new HashMap<>();

  /** Remembers so many sessions one by one. */
  public SessionPositions(int most) {
    this.most = most;
  }

  /** A write of the session was committed at the position; an earlier one changes nothing. */
  public void recordWrite(String session, int group, long position) {
    sessions.merge(session, new Mark(group, position), (a, b) -> b.position > a.position ? b : a);
    if (sessions.size() > most) {
      var eldest = sessions.entrySet().iterator();
      Mark forgotten = eldest.next().getValue();
      eldest.remove();
      floors.merge(forgotten.group, forgotten.position, Math::max);
    }
  }

  /**
   * Position that a read of the session must see; UNKNOWN where no write of its group was forgotten
   * or of it seen.
   */
  public long requiredPosition(String session, int group) {
    Mark mark = sessions.get(session);
    return Math.max(mark == null ? UNKNOWN : mark.position, floors.getOrDefault(group, UNKNOWN));
  }
}

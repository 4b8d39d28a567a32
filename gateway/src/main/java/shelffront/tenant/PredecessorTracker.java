package shelffront.tenant;

import shelffront.routing.Router;

/**
 * Covers the writes that another router of the same tenant may have taken: this one doesn't know
 * their positions. Until the predecessor's work is done, a session's read needs all that is
 * committed now; afterwards, all that was committed when it ended. On the loop thread.
 */
final class PredecessorTracker {

  private boolean running;
  private long endedAtMicros; // 0: there was none

  /** Another router serves this tenant's sessions, until {@link #end}. */
  void begin() {
    running = true;
  }

  void end(long nowMicros) {
    running = false;
    endedAtMicros = nowMicros;
  }

  boolean isRunning() {
    return running;
  }

  /** The position that every session's read needs; unknown where there was no predecessor. */
  long requiredPositionMicros(long nowMicros) {
    if (running) {
      return nowMicros;
    }
    return endedAtMicros > 0 ? endedAtMicros : Router.UNKNOWN;
  }
}

package shelffront.tenant;

import shelffront.routing.Router;

/**
 * Covers writes that a previous router of the same tenant (the predecessor) may have accepted and
 * whose positions the current router does not know. While the predecessor is active, session reads
 * require everything committed by now; afterwards, everything committed by the time it ended.
 * Confined to the event loop.
 */
final class PredecessorTracker {

  private boolean running;
  private long endedAtMicros; // 0 if there was no predecessor

  /** Records that another router may serve sessions of this tenant until {@link #end}. */
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

  /**
   * Returns the position that session reads require because of the predecessor, or {@link
   * Router#UNKNOWN} if there was none.
   */
  long requiredPositionMicros(long nowMicros) {
    if (running) {
      return nowMicros;
    }
    return endedAtMicros > 0 ? endedAtMicros : Router.UNKNOWN;
  }
}

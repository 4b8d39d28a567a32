package shelffront.tenant;

import shelffront.routing.RoleReport;
import shelffront.routing.Router;

/**
 * The relation of a tenant's router to the routers of the same tenant before and after it.
 *
 * <p>Covers writes that the previous router (the predecessor) may have accepted and whose positions
 * the current router does not know: while the predecessor is active, session reads require
 * everything committed by now; afterwards, everything committed by the time it ended. Passes what
 * hosts report about their roles on to the router that succeeds this one. Confined to the event
 * loop.
 */
final class TenantSuccession {

  private boolean predecessorRunning;
  private long predecessorEndedAtMicros; // 0 if there was no predecessor
  private Runnable removalCallback;
  private boolean removalComplete; // all resources are released
  private RoleReportListener successor = (endpointId, report) -> {};

  // ---- Predecessor

  /** Records that another router may serve sessions of this tenant until its end. */
  void predecessorStarted() {
    predecessorRunning = true;
  }

  /**
   * Records that the predecessor has ended; completes a removal that was waiting for that.
   *
   * @param nowMicros time of its end
   */
  void predecessorEnded(long nowMicros) {
    predecessorRunning = false;
    predecessorEndedAtMicros = nowMicros;
    if (removalComplete) {
      removalCallback.run();
    }
  }

  /** Whether there is or was a predecessor. */
  boolean hasPredecessor() {
    return predecessorRunning || predecessorEndedAtMicros > 0;
  }

  /**
   * Returns the position that session reads require because of the predecessor, or {@link
   * Router#UNKNOWN} if there was none.
   */
  long requiredPositionMicros(long nowMicros) {
    if (predecessorRunning) {
      return nowMicros;
    }
    return predecessorEndedAtMicros > 0 ? predecessorEndedAtMicros : Router.UNKNOWN;
  }

  // ---- Removal

  /** Sets the task to run once this tenant and its predecessor have ended. */
  void onRemoved(Runnable callback) {
    removalCallback = callback;
  }

  /**
   * Records that this tenant has released its resources. The callback waits for the end of an
   * active predecessor. Otherwise a successor would wait for this tenant but not for the
   * predecessor.
   */
  void removalCompleted() {
    removalComplete = true;
    if (!predecessorRunning) {
      removalCallback.run();
    }
  }

  // ---- Successor

  /** Sets the listener that receives the role reports of hosts from now on. */
  void forwardRoleReports(RoleReportListener listener) {
    successor = listener;
  }

  /** Passes a role report on to the successor, if there is one. */
  void report(String endpointId, RoleReport report) {
    successor.onRoleReport(endpointId, report);
  }
}

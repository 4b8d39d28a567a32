package shelffront.decision;

import static shelffront.routing.Router.UNKNOWN;

import shelffront.routing.Consistency;
import shelffront.routing.LagCheck;
import shelffront.routing.LoadReport;
import shelffront.routing.Request;

/**
 * Tracks the log positions that load reports and responses prove, and determines the position that
 * a session read must see. Positions and times are microseconds on one clock.
 */
record ReplicaPositions(RoutingState state) {

  /**
   * Returns the position that a request must see because of writes in its session: the greater of
   * the one sent by its client and the one remembered by this gateway; {@code UNKNOWN} if there is
   * none or the class does not have session consistency.
   */
  long sessionPosition(Request request) {
    Consistency consistency =
        state.settings.requestClasses().get(request.classIndex()).consistency();
    if (consistency != Consistency.SESSION) {
      return UNKNOWN;
    }
    return Math.max(
        state.sessions.requiredPosition(request.sessionId(), request.replicaSet()),
        request.requiredPositionMicros());
  }

  /**
   * Whether a replica is known to have applied the position or, if it checks its own lag, can be
   * expected to have applied it. With {@link LagCheck#WAIT}, the replica may lag behind by half of
   * the time for which it waits.
   */
  boolean covers(EndpointState endpoint, long requiredPositionMicros) {
    LagCheck lagCheck = state.settings.consistency().lagCheck();
    if (requiredPositionMicros == UNKNOWN) {
      return true;
    }
    if (lagCheck == LagCheck.NONE) {
      return endpoint.progress.hasApplied(requiredPositionMicros);
    }
    long toleratedLagMicros =
        lagCheck == LagCheck.WAIT ? state.settings.consistency().lagWaitMicros() / 2 : 0;
    return endpoint.progress.mayHaveApplied(
        state.nowMicros, requiredPositionMicros, toleratedLagMicros);
  }

  /** Records the position in an endpoint's load report; null is ignored. */
  void recordLoadReport(EndpointState endpoint, LoadReport loadReport) {
    if (loadReport != null && loadReport.positionMicros() != UNKNOWN) {
      endpoint.progress.advance(state.nowMicros, loadReport.positionMicros());
    }
  }

  /**
   * Records that a replica which checks its own lag has the position that a successful attempt
   * required. Without this, late load reports make replicas that keep up appear to lag until no
   * read is sent to them.
   */
  void recordServedRead(Attempt attempt) {
    if (state.settings.consistency().lagCheck() != LagCheck.NONE) {
      attempt.endpoint.progress.recordProvenPosition(
          attempt.sentAtMicros, attempt.requiredPositionMicros);
    }
  }
}

package shelffront.decision;

import static shelffront.routing.Router.UNKNOWN;

import shelffront.routing.Consistency;
import shelffront.routing.LagCheck;
import shelffront.routing.LoadReport;
import shelffront.routing.Request;
import shelffront.routing.Role;

/**
 * What reports and responses prove about positions in the log and about roles, and which position a
 * session's read has to see. Positions and times are microseconds on one clock.
 */
record ReplicaPositions(RoutingState state) {

  /**
   * Position that a request must see because of its session's writes: the greater of the one that
   * its client carries and the one remembered here; {@code UNKNOWN} where there is none.
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
   * Whether a replica is known to have applied the position, or may be trusted to have where it
   * checks for itself. With {@link LagCheck#WAIT} it may lack half of what it waits for.
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

  /**
   * Takes in a message that named an endpoint's role at a time. One that is older than the newest
   * about the set's primary, or that tells nothing new, is ignored, since roles change while
   * messages are under way.
   */
  void recordRole(EndpointState endpoint, Role role, long asOfMicros) {
    ReplicaSet replicaSet = endpoint.replicaSet;
    boolean knownAsPrimary = replicaSet.primary == endpoint;
    if (asOfMicros < replicaSet.primaryKnownAtMicros
        || role == Role.UNKNOWN
        || knownAsPrimary == (role == Role.PRIMARY)) {
      return;
    }
    if (role == Role.PRIMARY) {
      changePrimary(replicaSet, endpoint, asOfMicros);
      replicaSet.lastSearchedId = "";
      state.note("primary of group " + endpoint.listed.replicaSet() + " is " + endpoint.id);
    } else {
      changePrimary(replicaSet, null, asOfMicros);
      replicaSet.lastSearchedId = endpoint.id;
      state.note("group " + endpoint.listed.replicaSet() + " has no known primary");
    }
  }

  private static void changePrimary(ReplicaSet replicaSet, EndpointState primary, long asOfMicros) {
    replicaSet.primary = primary;
    replicaSet.preferredReplicas = null;
    replicaSet.primaryKnownAtMicros = asOfMicros;
  }

  /**
   * Takes in what an endpoint reports of itself. A report without a position tells no role either,
   * since a host that has made none yet answers with zeros.
   */
  void recordLoadReport(EndpointState endpoint, LoadReport loadReport) {
    if (loadReport == null || loadReport.positionMicros() == UNKNOWN) {
      return;
    }
    endpoint.progress.advance(state.nowMicros, loadReport.positionMicros());
    recordRole(endpoint, loadReport.role(), Math.min(loadReport.positionMicros(), state.nowMicros));
  }

  /**
   * A success from a replica that checks its lag proves the position that the read required.
   * Without this, late reports make replicas that keep up look behind until no read goes to them.
   */
  void recordAnsweredRead(Attempt attempt) {
    if (state.settings.consistency().lagCheck() != LagCheck.NONE) {
      attempt.endpoint.progress.recordProvenPosition(
          attempt.sentAtMicros, attempt.requiredPositionMicros);
    }
  }
}

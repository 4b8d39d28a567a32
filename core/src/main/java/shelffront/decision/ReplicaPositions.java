package shelffront.decision;

import static shelffront.routing.Router.UNKNOWN;

import shelffront.routing.Consistency;
import shelffront.routing.LagCheck;
import shelffront.routing.LoadReport;
import shelffront.routing.Request;
import shelffront.routing.Role;

/**
 * Tracks the log positions and roles that load reports and responses prove, and determines the
 * position that a session read must see. Positions and times are microseconds on one clock.
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

  /**
   * Records the role that an endpoint reported. Ignores a report that is older than the latest one
   * about the primary of the replica set, or that changes nothing, because roles change while
   * messages are in transit.
   *
   * @param asOfMicros time at which the endpoint had the role
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
      state.logRateLimited(
          "primary of group " + endpoint.listed.replicaSet() + " is " + endpoint.id);
    } else {
      changePrimary(replicaSet, null, asOfMicros);
      replicaSet.lastSearchedId = endpoint.id;
      state.logRateLimited("group " + endpoint.listed.replicaSet() + " has no known primary");
    }
  }

  private static void changePrimary(ReplicaSet replicaSet, EndpointState primary, long asOfMicros) {
    replicaSet.primary = primary;
    replicaSet.preferredReplicas = null;
    replicaSet.primaryKnownAtMicros = asOfMicros;
  }

  /**
   * Records an endpoint's load report; null is ignored. The role in a report without a position is
   * ignored too, because a host that has not made a report yet responds with zeros.
   */
  void recordLoadReport(EndpointState endpoint, LoadReport loadReport) {
    if (loadReport == null || loadReport.positionMicros() == UNKNOWN) {
      return;
    }
    endpoint.progress.advance(state.nowMicros, loadReport.positionMicros());
    recordRole(endpoint, loadReport.role(), Math.min(loadReport.positionMicros(), state.nowMicros));
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

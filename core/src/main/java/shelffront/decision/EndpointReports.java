package shelffront.decision;

import static shelffront.routing.Router.UNKNOWN;

import shelffront.routing.AttemptOutcome;
import shelffront.routing.AttemptStatus;
import shelffront.routing.LoadReport;
import shelffront.routing.Role;
import shelffront.routing.RoleReport;

/** Records what responses and health checks report of the positions and roles of endpoints. */
record EndpointReports(RoutingState state, ReplicaPositions positions, RoleTracker roleTracker) {

  /**
   * Records what the response to an attempt reports. The load report in it is older than the
   * response, so its role counts only if the response itself proves none. After its endpoint has
   * left the list, a response is no proof for an endpoint that has joined with the same id.
   *
   * @param attempt the attempt, or null if it is not known
   */
  void recordResponse(EndpointState endpoint, Attempt attempt, AttemptOutcome outcome) {
    positions.recordLoadReport(endpoint, outcome.loadReport());
    if (outcome.positionMicros() != UNKNOWN && outcome.role() != Role.UNKNOWN) {
      endpoint.progress.advance(state.nowMicros, outcome.positionMicros());
    }
    if (outcome.status() == AttemptStatus.REPLICA_UNSUITABLE) {
      endpoint.progress.recordRejectedRead(state.nowMicros);
    }
    RoleReport report =
        RoleReport.ofResponse(
            outcome,
            attempt != null && attempt.request.requestClass.isWrite(),
            attempt != null ? attempt.sentAtMicros : UNKNOWN,
            state.nowMicros);
    if (report.role() == Role.UNKNOWN) {
      report = RoleReport.ofLoadReport(outcome.loadReport(), state.nowMicros);
    }
    boolean former = state.endpoints.get(endpoint.id) != endpoint;
    if (!former || report.role() == Role.REPLICA) {
      roleTracker.record(endpoint.replicaSet, endpoint.id, report);
    }
  }

  /** Records the load report in the response to a health check; null if there was none. */
  void recordHealthCheck(EndpointState endpoint, LoadReport loadReport) {
    positions.recordLoadReport(endpoint, loadReport);
    roleTracker.record(
        endpoint.replicaSet, endpoint.id, RoleReport.ofLoadReport(loadReport, state.nowMicros));
  }

  /** Records that reports about roles may have been missed until now. */
  void recordMissedReports() {
    state.roleReportsMissed = true;
    state.replicaSets.values().forEach(set -> set.roles.recordMissedReports(state.nowMicros));
  }

  /**
   * Records a report that did not come with an outcome of this router. It is no proof that a host
   * is primary, because an endpoint of another router may be another one of the same id.
   */
  void recordReplicaReport(String endpointId, RoleReport report) {
    EndpointState endpoint = state.endpoints.get(endpointId);
    ReplicaSet replicaSet =
        endpoint != null ? endpoint.replicaSet : state.primarySets.get(endpointId);
    if (replicaSet != null && report.role() == Role.REPLICA) {
      roleTracker.record(replicaSet, endpointId, report);
    }
  }
}

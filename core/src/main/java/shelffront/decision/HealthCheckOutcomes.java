package shelffront.decision;

import shelffront.routing.AttemptStatus;
import shelffront.routing.LoadReport;

/** What the end of a health check says of an endpoint. */
record HealthCheckOutcomes(
    RoutingState state,
    ReplicaPositions positions,
    EndpointEjection ejection,
    ConnectionFailures connectionFailures) {

  /**
   * Takes in the end of a health check. An answered one ends an ejection that a failed one began,
   * and otherwise the probation once the ejection is over: else a lone gateway could never send a
   * non-idempotent write there. A failed one ejects the endpoint for a moment.
   */
  void record(EndpointState endpoint, AttemptStatus status, LoadReport loadReport) {
    boolean answered = status == AttemptStatus.OK;
    endpoint.healthCheckOut = false;
    positions.recordLoadReport(endpoint, answered ? loadReport : null);
    if (answered && endpoint.healthCheckFailed) {
      ejection.readmit(endpoint);
    } else if (answered && !endpoint.isEjected(state.nowMicros)) {
      endpoint.onProbation = false;
    } else if (isFailure(endpoint, status)) {
      ejection.ejectShortly(endpoint, "does not answer probes");
      endpoint.healthCheckFailed = true;
    }
  }

  private boolean isFailure(EndpointState endpoint, AttemptStatus status) {
    return status == AttemptStatus.TIMEOUT
        || status == AttemptStatus.CONNECT_FAILED && connectionFailures.exceedsTolerance(endpoint);
  }
}

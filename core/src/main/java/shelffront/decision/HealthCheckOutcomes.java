package shelffront.decision;

import shelffront.routing.AttemptStatus;
import shelffront.routing.LoadReport;

/** Updates an endpoint's health, position and role from the outcomes of its health checks. */
record HealthCheckOutcomes(
    RoutingState state,
    EndpointReports reports,
    EndpointEjection ejection,
    ConnectionFailures connectionFailures) {

  /**
   * Records the outcome of a health check. If an earlier check failed, a success readmits the
   * endpoint. Otherwise a success leaves an ejection in force; once the ejection has expired, it
   * ends the probation, because a lone gateway could otherwise never send the endpoint a
   * non-idempotent write. A timeout, or a connection failure beyond the tolerated number, ejects
   * the endpoint briefly.
   */
  void record(EndpointState endpoint, AttemptStatus status, LoadReport loadReport) {
    boolean succeeded = status == AttemptStatus.OK;
    endpoint.healthCheckPending = false;
    if (succeeded) {
      reports.recordHealthCheck(endpoint, loadReport);
    }
    if (succeeded && endpoint.healthCheckFailed) {
      ejection.readmit(endpoint);
    } else if (succeeded && !endpoint.isEjected(state.nowMicros)) {
      endpoint.onProbation = false;
    } else if (isFailure(endpoint, status)) {
      ejection.ejectBriefly(endpoint, "does not answer probes");
      endpoint.healthCheckFailed = true;
    }
  }

  private boolean isFailure(EndpointState endpoint, AttemptStatus status) {
    return status == AttemptStatus.TIMEOUT
        || status == AttemptStatus.CONNECT_FAILED && connectionFailures.exceedsTolerance(endpoint);
  }
}

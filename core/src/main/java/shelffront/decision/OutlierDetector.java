package shelffront.decision;

/** Decides whether an endpoint is healthy enough to be selected for a request. */
record OutlierDetector(
    RoutingState state,
    SilenceDetector silenceDetector,
    EndpointEjection ejection,
    SlowStartAdmission slowStartAdmission) {

  /**
   * Whether the endpoint is assignable, not ejected, idle if on probation, not silent, and within
   * its slow-start budget. An endpoint found silent is ejected here, because silence raises no
   * event and is detected only when a request considers the endpoint.
   */
  boolean mayBeChosen(EndpointState endpoint, PendingRequest request) {
    if (!endpoint.assignable
        || endpoint.isEjected(state.nowMicros)
        || isExcludedByProbation(endpoint, request)) {
      return false;
    }
    if (silenceDetector.isSilent(endpoint)) {
      ejection.eject(endpoint, "is silent");
      return false;
    }
    return slowStartAdmission.admits(request, endpoint);
  }

  /** On probation an endpoint gets one request at a time, and no non-idempotent ones. */
  private static boolean isExcludedByProbation(EndpointState endpoint, PendingRequest request) {
    return endpoint.onProbation
        && (!endpoint.outstandingAttempts.isEmpty() || request.requestClass.isNonIdempotent());
  }
}

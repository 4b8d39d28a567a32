package shelffront.decision;

/** Whether an endpoint may be chosen for a request, as far as its health goes. */
record OutlierDetector(
    RoutingState state,
    SilenceDetector silenceDetector,
    EndpointEjection ejection,
    SlowStartAdmission slowStartAdmission) {

  /**
   * Whether the endpoint is assignable, not ejected, free while on probation and not silent, and
   * whether its slow start leaves room. One that is found silent is ejected here, since silence is
   * no event and is noticed only when the endpoint is wanted.
   */
  boolean mayBeChosen(EndpointState endpoint, PendingRequest request) {
    if (!endpoint.assignable
        || endpoint.isEjected(state.nowMicros)
        || isBarredByProbation(endpoint, request)) {
      return false;
    }
    if (silenceDetector.isSilent(endpoint)) {
      ejection.eject(endpoint, "is silent");
      return false;
    }
    return slowStartAdmission.admits(request, endpoint);
  }

  /** On probation an endpoint gets one request at a time, and none that may run only once. */
  private static boolean isBarredByProbation(EndpointState endpoint, PendingRequest request) {
    return endpoint.onProbation
        && (!endpoint.attemptsOut.isEmpty() || request.requestClass.isNonIdempotent());
  }
}

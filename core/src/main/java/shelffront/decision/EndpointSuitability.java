package shelffront.decision;

/** Whether an endpoint is healthy, has capacity, and would answer a request in time. */
record EndpointSuitability(
    RoutingState state,
    OutlierDetector outlierDetector,
    EndpointCapacity capacity,
    SlowdownEstimator slowdownEstimator) {

  /** Typical service times that must be left for an attempt at least. */
  private static final double MIN_SERVICE_TIMES_LEFT = 1.2;

  /** Typical service times that are left for an attempt where the objective permits. */
  private static final double WANTED_SERVICE_TIMES_LEFT = 2;

  /**
   * Whether the request may be sent to the endpoint now, as far as health, load and time go.
   *
   * @param capacityFraction part of the endpoint's capacity that such requests may use, 0 to 1
   */
  boolean suits(EndpointState endpoint, PendingRequest request, double capacityFraction) {
    return outlierDetector.mayBeChosen(endpoint, request)
        && capacity.hasCapacity(endpoint, capacityFraction)
        && answersInTime(endpoint, request);
  }

  /** Whether the endpoint is expected to answer while the answer is of use. */
  private boolean answersInTime(EndpointState endpoint, PendingRequest request) {
    double expectedMicros =
        state.typicalServiceMicros(request) * slowdownEstimator.expected(endpoint);
    double halfObjectiveMicros = request.requestClass.latencyObjectiveMicros() / 2.0;
    double neededMicros =
        Math.max(
            MIN_SERVICE_TIMES_LEFT * expectedMicros,
            Math.min(WANTED_SERVICE_TIMES_LEFT * expectedMicros, halfObjectiveMicros));
    return state.nowMicros + neededMicros < request.usefulUntilMicros();
  }
}

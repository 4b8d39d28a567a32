package shelffront.decision;

/** Decides whether an endpoint is healthy, has capacity and is expected to respond in time. */
record EndpointSuitability(
    RoutingState state,
    OutlierDetector outlierDetector,
    EndpointCapacity capacity,
    SlowdownEstimator slowdownEstimator) {

  /** Minimum remaining time for an attempt, in expected service times. */
  private static final double MIN_REMAINING_SERVICE_TIMES = 1.2;

  /** Desired remaining time for an attempt, in expected service times, if the objective permits. */
  private static final double DESIRED_REMAINING_SERVICE_TIMES = 2;

  /**
   * Whether the request may be sent to the endpoint now, judged by health, load and remaining time.
   *
   * @param capacityFraction fraction of the endpoint's capacity that such requests may use, 0 to 1
   */
  boolean isSuitable(EndpointState endpoint, PendingRequest request, double capacityFraction) {
    return outlierDetector.mayBeChosen(endpoint, request)
        && capacity.hasCapacity(endpoint, capacityFraction)
        && respondsInTime(endpoint, request);
  }

  /** Whether the endpoint is expected to respond while the response still has value. */
  private boolean respondsInTime(EndpointState endpoint, PendingRequest request) {
    double expectedMicros =
        state.typicalServiceMicros(request) * slowdownEstimator.expected(endpoint);
    double halfObjectiveMicros = request.requestClass.latencyObjectiveMicros() / 2.0;
    double requiredMicros =
        Math.max(
            MIN_REMAINING_SERVICE_TIMES * expectedMicros,
            Math.min(DESIRED_REMAINING_SERVICE_TIMES * expectedMicros, halfObjectiveMicros));
    return state.nowMicros + requiredMicros < request.usefulUntilMicros();
  }
}

package shelffront.decision;

import shelffront.routing.AttemptOutcome;

/** Updates an endpoint's health and load statistics from the outcomes of its attempts. */
record AttemptOutcomes(
    RoutingState state,
    ReplicaPositions positions,
    SlowdownEstimator slowdownEstimator,
    EndpointCapacity capacity,
    EndpointEjection ejection,
    ConnectionFailures connectionFailures) {

  /** Weight of a new sample in the smoothed service time of its request class. */
  private static final double TYPICAL_SERVICE_SMOOTHING = 0.03;

  /**
   * Limits the influence of slow responses: samples are capped at this multiple of the typical
   * time.
   */
  private static final double MAX_TYPICAL_SERVICE_TIMES = 4;

  /** Records the outcome of an attempt that is no longer outstanding. */
  void record(Attempt attempt, AttemptOutcome outcome) {
    switch (outcome.status()) {
      case OK -> recordSuccess(attempt, outcome.elapsedMicros());
      case REPLICA_UNSUITABLE -> ejection.readmit(attempt.endpoint);
      case CAPACITY_EXCEEDED -> recordCapacityExceeded(attempt.endpoint);
      case TIMEOUT, CANCELLED -> recordUnanswered(attempt);
      case CONNECT_FAILED, RESET -> connectionFailures.record(attempt.endpoint, outcome);
      default -> {}
    }
  }

  private void recordSuccess(Attempt attempt, long elapsedMicros) {
    EndpointState endpoint = attempt.endpoint;
    endpoint.newestSuccessfulSendMicros =
        Math.max(endpoint.newestSuccessfulSendMicros, attempt.sentAtMicros);
    positions.recordServedRead(attempt);
    double serviceMicros = Math.max(1, elapsedMicros);
    updateTypicalService(attempt.request.request.classIndex(), serviceMicros);
    slowdownEstimator.record(endpoint, serviceMicros / state.typicalServiceMicros(attempt.request));
    ejection.readmit(endpoint);
    capacity.recordSuccess(endpoint, serviceMicros, attempt.request.requestClass);
  }

  private void updateTypicalService(int classIndex, double serviceMicros) {
    double typicalMicros = state.typicalServiceMicros[classIndex];
    state.typicalServiceMicros[classIndex] +=
        TYPICAL_SERVICE_SMOOTHING
            * (Math.min(serviceMicros, MAX_TYPICAL_SERVICE_TIMES * typicalMicros) - typicalMicros);
  }

  private void recordCapacityExceeded(EndpointState endpoint) {
    endpoint.lastResponseAtMicros = state.nowMicros;
    slowdownEstimator.record(endpoint, SlowdownEstimator.MAX_SLOWDOWN);
    capacity.recordCapacityExceeded(endpoint);
  }

  /**
   * Ignores overtaken attempts (the endpoint has completed one that was sent later): their
   * connection has probably been lost, which says nothing about the endpoint.
   */
  private void recordUnanswered(Attempt attempt) {
    if (attempt.isOvertaken()) {
      return;
    }
    EndpointState endpoint = attempt.endpoint;
    long waitedMicros = state.nowMicros - attempt.sentAtMicros;
    slowdownEstimator.record(endpoint, waitedMicros / state.typicalServiceMicros(attempt.request));
    capacity.recordLatency(
        endpoint,
        Math.max(waitedMicros, endpoint.latency.latencyMicros()),
        attempt.request.requestClass);
  }
}

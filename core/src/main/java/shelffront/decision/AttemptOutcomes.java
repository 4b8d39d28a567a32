package shelffront.decision;

import shelffront.routing.AttemptOutcome;

/** Updates an endpoint's health and load by the outcomes of its attempts. */
record AttemptOutcomes(
    RoutingState state,
    ReplicaPositions positions,
    SlowdownEstimator slowdownEstimator,
    EndpointCapacity capacity,
    EndpointEjection ejection,
    ConnectionFailures connectionFailures) {

  /** Weight of one service time in the typical one of its class. */
  private static final double TYPICAL_SERVICE_SMOOTHING = 0.03;

  /** One service time counts as this many typical ones at most. */
  private static final double MAX_TYPICAL_SERVICE_TIMES = 4;

  /** Takes in the outcome of an attempt that is no longer out. */
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
    endpoint.latestAnsweredSendMicros =
        Math.max(endpoint.latestAnsweredSendMicros, attempt.sentAtMicros);
    positions.recordAnsweredRead(attempt);
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

  /** An overtaken attempt's connection is lost, which says nothing of the endpoint. */
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

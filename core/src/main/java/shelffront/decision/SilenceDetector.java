package shelffront.decision;

/**
 * Detects endpoints that have stopped responding, by the waiting times of their outstanding
 * attempts.
 */
record SilenceDetector(RoutingState state, SlowdownEstimator slowdownEstimator) {

  /** Total waiting time, in typical service times, above which an endpoint is silent. */
  private static final double SILENT_SERVICE_TIMES = 8;

  /** Shorter waits are no evidence: a garbage collection or a busy core can explain them. */
  private static final long MIN_SILENCE_MICROS = 25_000;

  /** Maximum factor by which the threshold is raised for a slow endpoint. */
  private static final double MAX_TOLERATED_SLOWDOWN = 3;

  /**
   * Whether the waiting times of all outstanding attempts add up to too many typical service times.
   * Each is measured from the send time or the endpoint's last response, whichever is later.
   * Overtaken attempts (the endpoint has completed one that was sent later) do not count: their
   * connection has probably been lost, which says nothing about the endpoint.
   */
  boolean isSilent(EndpointState endpoint) {
    double serviceTimesWaited = 0;
    long earliestSinceMicros = state.nowMicros;
    for (Attempt attempt : endpoint.outstandingAttempts) {
      if (!attempt.isOvertaken()) {
        long sinceMicros = Math.max(endpoint.lastResponseAtMicros, attempt.sentAtMicros);
        serviceTimesWaited +=
            (state.nowMicros - sinceMicros) / state.typicalServiceMicros(attempt.request);
        earliestSinceMicros = Math.min(earliestSinceMicros, sinceMicros);
      }
    }
    return state.nowMicros - earliestSinceMicros >= minSilenceMicros(endpoint)
        && serviceTimesWaited > SILENT_SERVICE_TIMES * toleratedSlowdown(endpoint);
  }

  /** Whether the attempt was overtaken and has waited so long that its connection must be lost. */
  boolean isConnectionLost(Attempt attempt) {
    return attempt.isOvertaken()
        && state.nowMicros - attempt.sentAtMicros
            > SILENT_SERVICE_TIMES * state.typicalServiceMicros(attempt.request);
  }

  private static double minSilenceMicros(EndpointState endpoint) {
    return Math.max(MIN_SILENCE_MICROS, endpoint.latency.latencyMicros() / 2);
  }

  private double toleratedSlowdown(EndpointState endpoint) {
    return Math.max(1, Math.min(MAX_TOLERATED_SLOWDOWN, slowdownEstimator.expected(endpoint)));
  }
}

package shelffront.decision;

/** Whether an endpoint has stopped answering, by the attempts that it has not answered. */
record SilenceDetector(RoutingState state, SlowdownEstimator slowdownEstimator) {

  /** Typical service times that the waits at a silent endpoint add up to. */
  private static final double SILENT_SERVICE_TIMES = 8;

  /** A shorter wait tells nothing: a garbage collection or a busy core explains it. */
  private static final long MIN_SILENCE_MICROS = 25_000;

  /** A slow endpoint may take longer, but no more than so many times. */
  private static final double MAX_TOLERATED_SLOWDOWN = 3;

  /**
   * Whether the waits of all attempts that are out, each since it was sent or since the endpoint's
   * last response, add up to too many typical service times. Overtaken attempts do not count: their
   * connections are lost, which says nothing of the endpoint.
   */
  boolean isSilent(EndpointState endpoint) {
    double serviceTimesWaited = 0;
    long earliestSinceMicros = state.nowMicros;
    for (Attempt attempt : endpoint.attemptsOut) {
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

  /** Whether an overtaken attempt has waited so long that its connection must be lost. */
  boolean isLostWithItsConnection(Attempt attempt) {
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

package shelffront.decision;

import shelffront.routing.DeduplicationScope;

/**
 * Decides when a request can no longer be served in time, and ends it.
 *
 * <p>Invariant: every final response that the module generates is generated here. A request is
 * rejected only if it is safe to repeat; otherwise it fails.
 */
record LoadShedder(RoutingState state, RetryPolicy retryPolicy, RequestCompletion completion) {

  /**
   * Numerator of the fraction of its time, two fifths, within which a request must start its first
   * attempt. Otherwise it is shed while its client can still try elsewhere.
   */
  private static final int FIRST_ATTEMPT_TIME_NUMERATOR = 2;

  private static final int FIRST_ATTEMPT_TIME_DENOMINATOR = 5;

  /** Retry-After while no primary is known: the usual duration of an election. */
  private static final long RETRY_AFTER_WITHOUT_PRIMARY_MICROS = 1_000_000;

  /** Retry-After in other cases: the usual duration of an overload. */
  private static final long RETRY_AFTER_MICROS = 200_000;

  /** Whether no further attempt is permitted, or its response would come too late to have value. */
  boolean shouldShed(PendingRequest request) {
    return !retryPolicy.hasAttemptsLeft(request)
        || !retryPolicy.mayRetry(request)
        || state.nowMicros >= latestUsefulStartMicros(request);
  }

  /** Latest time at which an attempt can start and is still expected to respond in time. */
  long latestUsefulStartMicros(PendingRequest request) {
    long latestStartMicros =
        request.attempts.isEmpty() ? latestFirstStartMicros(request) : request.deadlineMicros;
    double serviceMicros =
        Math.min(
            state.typicalServiceMicros(request),
            request.requestClass.latencyObjectiveMicros() / 2.0);
    return Math.min(latestStartMicros, request.usefulUntilMicros() - (long) serviceMicros);
  }

  private static long latestFirstStartMicros(PendingRequest request) {
    return request.arrivedAtMicros
        + request.request.timeToDeadlineMicros()
            * FIRST_ATTEMPT_TIME_NUMERATOR
            / FIRST_ATTEMPT_TIME_DENOMINATOR;
  }

  /** Ends the request with its final response, if it is still open. */
  void shed(PendingRequest request) {
    if (!request.open) {
      return;
    }
    completion.complete(request);
    if (isSafeToRepeat(request)) {
      state.actions.reject(request.request.id(), retryAfterMicros(request.replicaSet));
    } else {
      state.actions.fail(request.request.id());
    }
  }

  private static boolean isSafeToRepeat(PendingRequest request) {
    return request.requestClass.isIdempotent()
        || request.firstPossibleExecution() == null
        || request.requestClass.isDeduplicatedWithin(DeduplicationScope.ALL);
  }

  /** Expected duration of the election or overload, within the configured limit. */
  private long retryAfterMicros(ReplicaSet replicaSet) {
    return state
        .settings
        .limits()
        .retryAfterMicros(
            replicaSet.primary == null ? RETRY_AFTER_WITHOUT_PRIMARY_MICROS : RETRY_AFTER_MICROS);
  }
}

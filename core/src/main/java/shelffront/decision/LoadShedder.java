package shelffront.decision;

import shelffront.routing.DeduplicationScope;

/**
 * When a request can no longer be answered in time, and how it ends then.
 *
 * <p>Invariant: every final answer that the module gives is given here. A request is rejected only
 * where repeating it does no harm; otherwise it fails.
 */
record LoadShedder(RoutingState state, RetryPolicy retryPolicy, RequestCompletion completion) {

  /**
   * Part of its time, two fifths, within which a request has to have its first attempt: else its
   * client is told while it can still turn elsewhere.
   */
  private static final int FIRST_ATTEMPT_TIME_NUMERATOR = 2;

  private static final int FIRST_ATTEMPT_TIME_DENOMINATOR = 5;

  /** Retry-After while no primary is known: the usual length of an election. */
  private static final long RETRY_AFTER_WITHOUT_PRIMARY_MICROS = 1_000_000;

  /** Retry-After otherwise: the usual length of an overload. */
  private static final long RETRY_AFTER_MICROS = 200_000;

  /** Whether no further attempt is permitted, or none would be answered in time. */
  boolean isHopeless(PendingRequest request) {
    return !retryPolicy.hasAttemptsLeft(request)
        || !retryPolicy.mayRetry(request)
        || state.nowMicros >= latestUsefulStartMicros(request);
  }

  /** After this time an attempt would most likely be answered too late to be worth anything. */
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

  /** Ends the request, if it is open, with its final answer. */
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
        || request.firstPossiblyExecuted() == null
        || request.requestClass.isDeduplicatedWithin(DeduplicationScope.ALL);
  }

  /** The expected duration of the election or overload, within what the site permits. */
  private long retryAfterMicros(ReplicaSet replicaSet) {
    return state
        .settings
        .limits()
        .retryAfterMicros(
            replicaSet.primary == null ? RETRY_AFTER_WITHOUT_PRIMARY_MICROS : RETRY_AFTER_MICROS);
  }
}

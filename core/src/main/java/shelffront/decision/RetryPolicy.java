package shelffront.decision;

import java.util.Objects;
import shelffront.consistency.ExecutedRequests.Execution;
import shelffront.routing.DeduplicationScope;
import shelffront.routing.OperatingLimits;

/**
 * Decides whether a request may have another attempt after the previous ones.
 *
 * <p>Invariant: after an attempt that was or may have been executed, a request gets another one
 * only if it may be executed more than once.
 */
record RetryPolicy(RoutingState state) {

  /** Whether the request has had fewer attempts than the settings permit. */
  boolean hasAttemptsLeft(PendingRequest request) {
    return request.attempts.size() < state.settings.limits().maxAttempts();
  }

  /**
   * Whether previous attempts, also those before the request came again, allow it to be sent again:
   * always if none of them may have been executed, otherwise depending on the class. With an
   * idempotency key, the retry must fall into the deduplication window less one tick, because the
   * attempt reaches the host up to one tick after this decision.
   */
  boolean mayRetry(PendingRequest request) {
    Execution executed = request.firstPossibleExecution();
    if (executed == null) {
      return true;
    }
    return switch (request.requestClass.idempotency()) {
      case IDEMPOTENT -> true;
      case IDEMPOTENCY_KEY ->
          isRecognizedAsRepeat(request, executed)
              && state.nowMicros + state.settings.tickMicros()
                  < executed.sentAtMicros() + request.requestClass.deduplicationWindowMicros();
      case NON_IDEMPOTENT -> false;
    };
  }

  /** A request that comes again may name another key, or another replica set. */
  private static boolean isRecognizedAsRepeat(PendingRequest request, Execution executed) {
    return Objects.equals(request.request.idempotencyKey(), executed.idempotencyKey())
        && (request.request.replicaSet() == executed.replicaSet()
            || !request.requestClass.isDeduplicatedWithin(DeduplicationScope.REPLICA_SET));
  }

  /**
   * Whether a retry at this endpoint would be recognized as a repeat. Hosts that share idempotency
   * keys within a zone do not know the keys of another zone.
   */
  boolean staysInDeduplicationScope(PendingRequest request, EndpointState endpoint) {
    Execution executed = request.firstPossibleExecution();
    return executed == null
        || !request.requestClass.isDeduplicatedWithin(DeduplicationScope.ZONE)
        || executed.zone().equals(endpoint.listed.zone());
  }

  /** Whether an attempt may start while others are outstanding. */
  boolean mayRunConcurrently(PendingRequest request) {
    OperatingLimits limits = state.settings.limits();
    return !request.hasOutstandingAttempt()
        || request.requestClass.isIdempotent() && limits.hedgingAllowed();
  }
}

package shelffront.decision;

import shelffront.routing.DeduplicationScope;
import shelffront.routing.OperatingLimits;

/**
 * Whether a request may have another attempt, given those that it had.
 *
 * <p>Invariant: only a request that may run more than once gets a further attempt after one that
 * ran or may have run.
 */
record RetryPolicy(RoutingState state) {

  /** Whether the site leaves the request an attempt. */
  boolean hasAttemptsLeft(PendingRequest request) {
    return request.attempts.size() < state.settings.limits().maxAttempts();
  }

  /**
   * Whether earlier attempts leave the request free to be sent again: always where none may have
   * run, else by its class, with an idempotency key only inside the deduplication window, less one
   * tick since the attempt arrives later than it is decided.
   */
  boolean mayRetry(PendingRequest request) {
    Attempt executed = request.firstPossiblyExecuted();
    if (executed == null) {
      return true;
    }
    return switch (request.requestClass.idempotency()) {
      case IDEMPOTENT -> true;
      case IDEMPOTENCY_KEY ->
          state.nowMicros + state.settings.tickMicros()
              < executed.sentAtMicros + request.requestClass.deduplicationWindowMicros();
      case NON_IDEMPOTENT -> false;
    };
  }

  /**
   * Whether a retry at this endpoint would be recognized as a repeat: hosts that share idempotency
   * keys within a zone do not know those of another one.
   */
  boolean staysInDeduplicationScope(PendingRequest request, EndpointState endpoint) {
    Attempt executed = request.firstPossiblyExecuted();
    return executed == null
        || !request.requestClass.isDeduplicatedWithin(DeduplicationScope.ZONE)
        || executed.endpoint.listed.zone().equals(endpoint.listed.zone());
  }

  /** Whether an attempt may start beside those that are still out. */
  boolean mayRunBesideOthers(PendingRequest request) {
    OperatingLimits limits = state.settings.limits();
    return !request.hasAttemptOut()
        || request.requestClass.isIdempotent() && limits.hedgingAllowed();
  }
}

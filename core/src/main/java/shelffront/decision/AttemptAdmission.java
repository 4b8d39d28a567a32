package shelffront.decision;

import shelffront.routing.Consistency;
import shelffront.routing.LagCheck;

/**
 * Checks that every attempt must pass before it starts, regardless of how its endpoint was
 * selected.
 *
 * <p>Invariant: an attempt that violates one of these rules never starts, even if the selection
 * policies did not apply the rule.
 */
record AttemptAdmission(
    RoutingState state, RetryPolicy retryPolicy, SlowStartAdmission slowStartAdmission) {

  /** Whether an attempt of the request may start at the endpoint now. */
  boolean admits(PendingRequest request, EndpointState endpoint) {
    return isOpenBeforeDeadline(request)
        && servesReplicaSetOf(endpoint, request)
        && retryPolicy.hasAttemptsLeft(request)
        && retryPolicy.mayRetry(request)
        && retryPolicy.staysInDeduplicationScope(request, endpoint)
        && retryPolicy.mayRunConcurrently(request)
        && slowStartAdmission.admits(request, endpoint)
        && isFreshEnough(request, endpoint);
  }

  /**
   * Whether an attempt that waited for a connection may still be written to it. Repeats the checks
   * whose result may have changed meanwhile. The retry check is skipped if no earlier attempt may
   * have been executed, because this attempt is then not a repeat.
   */
  boolean stillAdmits(Attempt attempt) {
    PendingRequest request = attempt.request;
    return request.open
        && attempt.endpoint.assignable
        && isFreshEnough(request, attempt.endpoint)
        && (request.isOnlyPossibleExecution(attempt) || retryPolicy.mayRetry(request));
  }

  private boolean isOpenBeforeDeadline(PendingRequest request) {
    return request.open && state.nowMicros < request.deadlineMicros;
  }

  private static boolean servesReplicaSetOf(EndpointState endpoint, PendingRequest request) {
    return endpoint.assignable && endpoint.listed.replicaSet() == request.request.replicaSet();
  }

  /**
   * Whether the endpoint has applied enough of the log to serve the request. The primary may serve
   * any request, if its role is trusted. A replica may serve a read if the class is eventually
   * consistent, if it has applied the required position, or if it checks its own lag. Writes are
   * exempt, because a replica rejects them without executing them.
   */
  boolean isFreshEnough(PendingRequest request, EndpointState endpoint) {
    Consistency consistency = request.requestClass.consistency();
    if (request.replicaSet.isTrustedPrimary(endpoint)
        || consistency == Consistency.EVENTUAL
        || consistency == Consistency.WRITE) {
      return true;
    }
    if (consistency == Consistency.STRONG) {
      return false;
    }
    return state.settings.consistency().lagCheck() != LagCheck.NONE
        || endpoint.progress.hasApplied(request.requiredPositionMicros(state.nowMicros));
  }
}

package shelffront.decision;

import shelffront.routing.Consistency;
import shelffront.routing.LagCheck;

/**
 * The rules that every attempt is held against, whatever chose its endpoint.
 *
 * <p>Invariant: no attempt starts that one of these rules forbids; they need no other policy to
 * have been asked before.
 */
record AttemptAdmission(
    RoutingState state, RetryPolicy retryPolicy, SlowStartAdmission slowStartAdmission) {

  /** Whether an attempt of the request may start at the endpoint now. */
  boolean admits(PendingRequest request, EndpointState endpoint) {
    return isStillWanted(request)
        && holdsItsData(endpoint, request)
        && retryPolicy.hasAttemptsLeft(request)
        && retryPolicy.mayRetry(request)
        && retryPolicy.staysInDeduplicationScope(request, endpoint)
        && retryPolicy.mayRunBesideOthers(request)
        && slowStartAdmission.admits(request, endpoint)
        && isFreshEnough(request, endpoint);
  }

  /**
   * Whether an attempt that waited for a connection may still be written: the same rules, of which
   * the attempt itself, as the first that may have run, breaks none.
   */
  boolean stillAdmits(Attempt attempt) {
    PendingRequest request = attempt.request;
    return request.open
        && attempt.endpoint.assignable
        && isFreshEnough(request, attempt.endpoint)
        && (request.firstPossiblyExecuted() == attempt || retryPolicy.mayRetry(request));
  }

  private boolean isStillWanted(PendingRequest request) {
    return request.open && state.nowMicros < request.deadlineMicros;
  }

  private static boolean holdsItsData(EndpointState endpoint, PendingRequest request) {
    return endpoint.assignable && endpoint.listed.replicaSet() == request.request.replicaSet();
  }

  /**
   * Whether the endpoint may answer a read with the data it has: the primary any, a replica where
   * the class takes any data, where it has the position, or where it checks for itself. Writes are
   * sent back by a replica, and are not held against this rule.
   */
  boolean isFreshEnough(PendingRequest request, EndpointState endpoint) {
    Consistency consistency = request.requestClass.consistency();
    if (endpoint == request.replicaSet.primary
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

package shelffront.decision;

/**
 * Starts attempts.
 *
 * <p>Invariant: only this class starts attempts, and only those that {@link AttemptAdmission}
 * admits.
 */
record AttemptSender(RoutingState state, AttemptAdmission admission) {

  /**
   * Starts an attempt of the request at the endpoint; returns null if {@link AttemptAdmission}
   * denies it.
   */
  Attempt send(PendingRequest request, EndpointState endpoint) {
    if (!admission.admits(request, endpoint)) {
      return null;
    }
    Attempt attempt = new Attempt(request, endpoint, state.nowMicros);
    request.attempts.add(attempt);
    request.queue = null;
    endpoint.outstandingAttempts.add(attempt);
    state.outstandingAttempts.put(attempt.id(), attempt);
    endpoint.recentSends.record(state.nowMicros, 1);
    endpoint.lastSentAtMicros = state.nowMicros;
    state.actions.startAttempt(request.request.id(), endpoint.id, 0);
    return attempt;
  }
}

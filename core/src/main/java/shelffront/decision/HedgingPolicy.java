package shelffront.decision;

import shelffront.routing.OperatingLimits;

/**
 * Hedged requests: a second attempt of an idempotent request whose first one is most likely lost.
 *
 * <p>Invariant: only the newest attempt of a request is watched, so that a request has one timer of
 * this kind at a time.
 */
record HedgingPolicy(
    RoutingState state,
    AttemptSender sender,
    EndpointSelector selector,
    SilenceDetector silenceDetector,
    LoadShedder loadShedder) {

  /** Starts an attempt and watches it where it may be hedged; false where a rule forbids it. */
  boolean startAttempt(PendingRequest request, EndpointState endpoint) {
    Attempt attempt = sender.send(request, endpoint);
    if (attempt == null) {
      return false;
    }
    if (request.requestClass.isIdempotent()) {
      scheduleCheck(attempt);
    }
    return true;
  }

  private void scheduleCheck(Attempt attempt) {
    PendingRequest request = attempt.request;
    long nextCheckMicros = state.nowMicros + (long) state.typicalServiceMicros(request);
    state.schedule(request, nextCheckMicros, () -> check(attempt));
  }

  /**
   * Hedges an attempt that is lost, and cancels it once it is hedged or where it may not be; looks
   * again after the class's typical service time.
   */
  private void check(Attempt attempt) {
    PendingRequest request = attempt.request;
    if (!request.open || !attempt.isOut() || !request.isNewestAttempt(attempt)) {
      return;
    }
    OperatingLimits limits = state.settings.limits();
    boolean lost = isLost(attempt);
    boolean mayHedge = limits.hedgingAllowed() && isUsefulNow(request);
    boolean hedged = lost && mayHedge && hedge(attempt);
    if (lost && limits.cancellationAllowed() && (hedged || !mayHedge)) {
      state.actions.cancelAttempt(request.request.id(), attempt.number);
    }
    if (!hedged && isUsefulNow(request)) {
      scheduleCheck(attempt);
    }
  }

  private boolean isUsefulNow(PendingRequest request) {
    return state.nowMicros < loadShedder.latestUsefulStartMicros(request);
  }

  /** Whether the attempt's endpoint was withdrawn, ejected or silent, or its connection lost. */
  private boolean isLost(Attempt attempt) {
    EndpointState endpoint = attempt.endpoint;
    return !endpoint.assignable
        || endpoint.isEjected(state.nowMicros)
        || silenceDetector.isSilent(endpoint)
        || silenceDetector.isLostWithItsConnection(attempt);
  }

  private boolean hedge(Attempt attempt) {
    EndpointState other = selector.select(attempt.request);
    return other != null && other != attempt.endpoint && startAttempt(attempt.request, other);
  }
}

package shelffront.decision;

import shelffront.routing.OperatingLimits;

/**
 * Starts hedged attempts: a second attempt of an idempotent request whose outstanding attempt is
 * probably lost.
 *
 * <p>Invariant: only the newest attempt of a request is monitored, so that a request has at most
 * one hedging timer.
 */
record HedgingPolicy(
    RoutingState state,
    AttemptSender sender,
    EndpointSelector selector,
    SilenceDetector silenceDetector,
    LoadShedder loadShedder) {

  /**
   * Starts an attempt, and monitors it if the request is idempotent; returns false if {@link
   * AttemptAdmission} denies it.
   */
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
   * Hedges the attempt if it is lost, and cancels it once it is hedged or if it may not be hedged.
   * While it is not hedged, repeats the check after the typical service time of the class.
   */
  private void check(Attempt attempt) {
    PendingRequest request = attempt.request;
    if (!request.open || !attempt.isOutstanding() || !request.isNewestAttempt(attempt)) {
      return;
    }
    OperatingLimits limits = state.settings.limits();
    boolean lost = isLost(attempt);
    boolean mayHedge = limits.hedgingAllowed() && canStillBeUseful(request);
    boolean hedged = lost && mayHedge && hedge(attempt);
    if (lost && limits.cancellationAllowed() && (hedged || !mayHedge)) {
      state.actions.cancelAttempt(request.request.id(), attempt.number);
    }
    if (!hedged && canStillBeUseful(request)) {
      scheduleCheck(attempt);
    }
  }

  private boolean canStillBeUseful(PendingRequest request) {
    return state.nowMicros < loadShedder.latestUsefulStartMicros(request);
  }

  /**
   * Whether the endpoint was withdrawn, ejected or is silent, or the attempt's connection was lost.
   */
  private boolean isLost(Attempt attempt) {
    EndpointState endpoint = attempt.endpoint;
    return !endpoint.assignable
        || endpoint.isEjected(state.nowMicros)
        || silenceDetector.isSilent(endpoint)
        || silenceDetector.isConnectionLost(attempt);
  }

  private boolean hedge(Attempt attempt) {
    EndpointState other = selector.select(attempt.request);
    return other != null && other != attempt.endpoint && startAttempt(attempt.request, other);
  }
}

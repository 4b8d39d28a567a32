package shelffront.decision;

/** Ends a request in the module; it takes no further attempt afterwards. */
record RequestCompletion(RoutingState state) {

  /** Timers of completed requests are dropped when so many and a part of all have ended. */
  private static final int MIN_COMPLETED_FOR_SWEEP = 64;

  private static final int TIMERS_PER_COMPLETED = 8;

  /** Forgets the request and cancels the attempts that are out, if it is idempotent. */
  void complete(PendingRequest request) {
    request.open = false;
    request.queue = null;
    state.pendingRequests.remove(request.request.id());
    sweepTimers();
    if (state.settings.limits().cancellationAllowed() && request.requestClass.isIdempotent()) {
      request.attempts.stream().filter(Attempt::isOut).forEach(this::cancel);
    }
  }

  private void cancel(Attempt attempt) {
    state.actions.cancelAttempt(attempt.request.request.id(), attempt.number);
  }

  private void sweepTimers() {
    state.completedSinceTimerSweep++;
    if (state.completedSinceTimerSweep
        > MIN_COMPLETED_FOR_SWEEP + state.timers.size() / TIMERS_PER_COMPLETED) {
      state.completedSinceTimerSweep = 0;
      state.timers.removeCancelled();
    }
  }
}

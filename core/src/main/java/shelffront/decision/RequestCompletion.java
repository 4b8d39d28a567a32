package shelffront.decision;

/** Completes requests; a completed request gets no further attempt. */
record RequestCompletion(RoutingState state) {

  /**
   * Timers of completed requests are removed once more requests than this, plus one for each {@link
   * #TIMERS_PER_COMPLETED_REQUEST} timers, have completed since the last sweep.
   */
  private static final int MIN_COMPLETED_REQUESTS_FOR_SWEEP = 64;

  private static final int TIMERS_PER_COMPLETED_REQUEST = 8;

  /**
   * Removes the request, and cancels its outstanding attempts if it is idempotent and the settings
   * permit cancellation.
   */
  void complete(PendingRequest request) {
    if (request.open) {
      request.replicaSet.openRequests--;
      dropIfUnused(request.request.replicaSet(), request.replicaSet);
    }
    request.open = false;
    request.queue = null;
    state.pendingRequests.remove(request.request.id());
    sweepTimers();
    if (state.settings.limits().cancellationAllowed() && request.requestClass.isIdempotent()) {
      request.attempts.stream().filter(Attempt::isOutstanding).forEach(this::cancel);
    }
  }

  /**
   * Drops a replica set that only requests have named, so that their number bounds the state that
   * they create.
   */
  private void dropIfUnused(int number, ReplicaSet replicaSet) {
    if (!replicaSet.listed && replicaSet.openRequests == 0) {
      state.replicaSets.remove(number);
    }
  }

  private void cancel(Attempt attempt) {
    state.actions.cancelAttempt(attempt.request.request.id(), attempt.number);
  }

  private void sweepTimers() {
    state.completedSinceTimerSweep++;
    if (state.completedSinceTimerSweep
        > MIN_COMPLETED_REQUESTS_FOR_SWEEP + state.timers.size() / TIMERS_PER_COMPLETED_REQUEST) {
      state.completedSinceTimerSweep = 0;
      state.timers.removeCancelled();
    }
  }
}

package shelffront.decision;

/**
 * Searches for the primary of a replica set while none is known: one write at a time tries the
 * endpoints in order of their ids. Endpoints that are not the primary reject the write without
 * executing it.
 */
record PrimarySearch(RoutingState state, OutlierDetector outlierDetector) {

  /** Pause after all endpoints have been tried, because an election takes seconds. */
  private static final long SEARCH_PAUSE_MICROS = 100_000;

  /**
   * Attempts that a searching write must have left: one for this candidate and one for the primary.
   */
  private static final int RESERVED_ATTEMPTS = 2;

  /** Returns the endpoint that the write tries next, or null if the write has to wait. */
  EndpointState next(PendingRequest request) {
    ReplicaSet replicaSet = request.replicaSet;
    if (isSearchedByAnother(replicaSet, request)
        || state.nowMicros < replicaSet.searchPausedUntilMicros
        || !maySearch(request)) {
      return null;
    }
    String candidateId = replicaSet.lastSearchedId;
    for (int tried = 0; tried < replicaSet.endpoints.size(); tried++) {
      candidateId = replicaSet.endpoints.higherKey(candidateId);
      if (candidateId == null) {
        pause(replicaSet);
        return null;
      }
      EndpointState candidate = replicaSet.endpoints.get(candidateId);
      if (outlierDetector.mayBeChosen(candidate, request)) {
        replicaSet.lastSearchedId = candidateId;
        replicaSet.searchingRequest = request;
        return candidate;
      }
    }
    return null;
  }

  private static boolean isSearchedByAnother(ReplicaSet replicaSet, PendingRequest request) {
    PendingRequest searching = replicaSet.searchingRequest;
    return searching != null
        && searching.open
        && searching != request
        && searching.hasOutstandingAttempt();
  }

  private boolean maySearch(PendingRequest request) {
    int maxAttempts = state.settings.limits().maxAttempts();
    return request.requestClass.isWrite()
        && request.attempts.size() + RESERVED_ATTEMPTS <= maxAttempts;
  }

  private void pause(ReplicaSet replicaSet) {
    replicaSet.lastSearchedId = "";
    replicaSet.searchPausedUntilMicros = state.nowMicros + SEARCH_PAUSE_MICROS;
    state.schedule(
        replicaSet.searchPausedUntilMicros, () -> state.replicaSetChanged.accept(replicaSet));
  }
}

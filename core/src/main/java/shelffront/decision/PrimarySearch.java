package shelffront.decision;

/**
 * The search for a replica set's primary while none is known: one write at a time tries the
 * endpoints in order of their ids; those that are not the primary send it back untouched.
 */
record PrimarySearch(RoutingState state, OutlierDetector outlierDetector) {

  /** Pause after all endpoints were tried, since an election takes seconds. */
  private static final long PAUSE_MICROS = 100_000;

  /** Attempts that a searching write keeps, this one included, for when the primary is found. */
  private static final int RESERVED_ATTEMPTS = 2;

  /** The endpoint that the write tries next, or null when it has to wait. */
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
    return searching != null && searching.open && searching != request && searching.hasAttemptOut();
  }

  private boolean maySearch(PendingRequest request) {
    int maxAttempts = state.settings.limits().maxAttempts();
    return request.requestClass.isWrite()
        && request.attempts.size() + RESERVED_ATTEMPTS <= maxAttempts;
  }

  private void pause(ReplicaSet replicaSet) {
    replicaSet.lastSearchedId = "";
    replicaSet.searchPausedUntilMicros = state.nowMicros + PAUSE_MICROS;
    state.schedule(
        replicaSet.searchPausedUntilMicros, () -> state.replicaSetChanged.accept(replicaSet));
  }
}

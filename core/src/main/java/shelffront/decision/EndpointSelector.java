package shelffront.decision;

import shelffront.routing.Consistency;

/**
 * Selects the endpoint for a request.
 *
 * <p>Requests that require the primary are sent only to the primary or, while none is known, to
 * candidates in the search for it. Other reads go to a replica, or to the primary after they have
 * waited for a replica.
 */
record EndpointSelector(
    RoutingState state,
    EndpointSuitability suitability,
    EndpointCapacity capacity,
    ReplicaSelector replicaSelector,
    PrimarySearch primarySearch) {

  /** Maximum time that a read waits for a replica that covers its required position. */
  static final long MAX_REPLICA_WAIT_MICROS = 50_000;

  /**
   * Fraction of the primary's capacity for reads, other than session reads, that do not require it.
   */
  private static final double PRIMARY_FRACTION_FOR_READS = 0.3;

  /** Returns the endpoint to which the request can be sent now, or null if none is suitable. */
  EndpointState select(PendingRequest request) {
    if (request.requestClass.requiresPrimary()) {
      return selectPrimary(request);
    }
    EndpointState replica = replicaSelector.select(request);
    if (replica != null || !mayFallBackToPrimary(request)) {
      return replica;
    }
    return fallBackToPrimary(request);
  }

  private EndpointState selectPrimary(PendingRequest request) {
    EndpointState primary = request.replicaSet.primary;
    if (primary == null) {
      return primarySearch.next(request);
    }
    return suitability.isSuitable(primary, request, 1) ? primary : null;
  }

  /**
   * Whether a read may use the primary: at once if it is eventually consistent or a replica
   * rejected it, otherwise after {@link #MAX_REPLICA_WAIT_MICROS}.
   */
  private boolean mayFallBackToPrimary(PendingRequest request) {
    return request.rejectedByReplica
        || state.nowMicros >= request.arrivedAtMicros + MAX_REPLICA_WAIT_MICROS
        || request.requestClass.consistency() == Consistency.EVENTUAL;
  }

  /**
   * Returns the primary for a read that no replica can take, or null. Session reads may use its
   * whole capacity; other reads only a fraction, and only while its latency is well within the
   * objective.
   */
  private EndpointState fallBackToPrimary(PendingRequest request) {
    EndpointState primary = request.replicaSet.primary;
    boolean sessionRead = request.requestClass.consistency() == Consistency.SESSION;
    if (primary == null || !sessionRead && !capacity.hasSpareCapacity(primary)) {
      return null;
    }
    double capacityFraction = sessionRead ? 1 : PRIMARY_FRACTION_FOR_READS;
    return suitability.isSuitable(primary, request, capacityFraction) ? primary : null;
  }
}

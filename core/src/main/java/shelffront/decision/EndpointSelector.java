package shelffront.decision;

import shelffront.routing.Consistency;

/**
 * Chooses the endpoint that a request is sent to, or none yet.
 *
 * <p>What needs the primary goes there and nowhere else. Other reads go to a replica, and to the
 * primary once they have waited for one.
 */
record EndpointSelector(
    RoutingState state,
    EndpointSuitability suitability,
    EndpointCapacity capacity,
    ReplicaSelector replicaSelector,
    PrimarySearch primarySearch) {

  /** Longest wait of a read for a replica that covers its position. */
  static final long MAX_REPLICA_WAIT_MICROS = 50_000;

  /** Part of the primary's capacity for reads that do not need it. */
  private static final double PRIMARY_FRACTION_FOR_READS = 0.3;

  /** The endpoint for a request, or null while none suits. */
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
    return suitability.suits(primary, request, 1) ? primary : null;
  }

  /**
   * Whether a read may use the primary: at once where any data will do or a replica rejected it,
   * else after {@link #MAX_REPLICA_WAIT_MICROS}.
   */
  private boolean mayFallBackToPrimary(PendingRequest request) {
    return request.rejectedByReplica
        || state.nowMicros >= request.arrivedAtMicros + MAX_REPLICA_WAIT_MICROS
        || request.requestClass.consistency() == Consistency.EVENTUAL;
  }

  /**
   * The primary for a read that no replica takes: session reads may use all of its capacity, others
   * a part, and only while it answers well within the objective.
   */
  private EndpointState fallBackToPrimary(PendingRequest request) {
    EndpointState primary = request.replicaSet.primary;
    boolean sessionRead = request.requestClass.consistency() == Consistency.SESSION;
    if (primary == null || !sessionRead && !capacity.hasSpareCapacity(primary)) {
      return null;
    }
    double capacityFraction = sessionRead ? 1 : PRIMARY_FRACTION_FOR_READS;
    return suitability.suits(primary, request, capacityFraction) ? primary : null;
  }
}

package shelffront.decision;

import java.util.List;

/** Selects the replica that is expected to respond to a read soonest. */
record ReplicaSelector(
    RoutingState state,
    EndpointSuitability suitability,
    SlowdownEstimator slowdownEstimator,
    ReplicaPositions positions,
    PreferredReplicas preferredReplicas) {

  /** Range of the random factor that keeps gateways from all selecting the same replica. */
  private static final double JITTER_SPREAD = 0.1;

  private static final double MIN_JITTER = 0.95;

  /** Cost factor of a replica that this gateway does not prefer. */
  private static final double NOT_PREFERRED_COST_FACTOR = 1.5;

  /** Cost factor of a replica without an idle connection. */
  private static final double CONNECT_COST_FACTOR = 1.5;

  /** Cost factor of a replica without an idle connection while establishing one takes too long. */
  private static final double EXPENSIVE_CONNECT_COST_FACTOR = 4;

  /** Increase of the cost factor for each unit of the cross-zone cost in the settings. */
  private static final double CROSS_ZONE_COST_MULTIPLIER = 5;

  /**
   * Returns the replica of lowest cost among those that are suitable, cover the position that the
   * read requires and have not received the request before; null if there is none.
   */
  EndpointState select(PendingRequest request) {
    long requiredPositionMicros = request.requiredPositionMicros(state.nowMicros);
    List<String> preferred = preferredReplicas.of(request.replicaSet);
    EndpointState best = null;
    double leastCost = Double.MAX_VALUE;
    for (EndpointState endpoint : request.replicaSet.endpoints.values()) {
      if (!isCandidate(endpoint, request, requiredPositionMicros)) {
        continue;
      }
      double cost = cost(endpoint, preferred.contains(endpoint.id));
      if (cost < leastCost) {
        best = endpoint;
        leastCost = cost;
      }
    }
    return best;
  }

  private boolean isCandidate(
      EndpointState endpoint, PendingRequest request, long requiredPositionMicros) {
    return !endpoint.isPrimary()
        && !request.wasSentTo(endpoint)
        && suitability.isSuitable(endpoint, request, 1)
        && positions.covers(endpoint, requiredPositionMicros);
  }

  /**
   * Cost of sending the read to the replica: its expected response time in arbitrary units,
   * weighted by preference, connection state and zone. Draws one random number.
   */
  private double cost(EndpointState endpoint, boolean preferred) {
    return slowdownEstimator.expected(endpoint)
        * (endpoint.outstandingAttempts.size() + 1)
        / endpoint.capacityHint()
        * jitter()
        * (preferred ? 1 : NOT_PREFERRED_COST_FACTOR)
        * connectCostFactor(endpoint)
        * zoneCostFactor(endpoint);
  }

  private double jitter() {
    return MIN_JITTER + JITTER_SPREAD * state.random.nextDouble();
  }

  private double connectCostFactor(EndpointState endpoint) {
    if (state.nowMicros < endpoint.idleConnectionUntilMicros) {
      return 1;
    }
    return state.nowMicros < state.connectionsExpensiveUntilMicros
        ? EXPENSIVE_CONNECT_COST_FACTOR
        : CONNECT_COST_FACTOR;
  }

  private double zoneCostFactor(EndpointState endpoint) {
    return endpoint.listed.zone().equals(state.settings.gateway().zone())
        ? 1
        : 1 + CROSS_ZONE_COST_MULTIPLIER * state.settings.crossZoneCost();
  }
}

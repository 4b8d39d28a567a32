package shelffront.decision;

import java.util.List;

/** Chooses the replica that is expected to answer a read soonest. */
record ReplicaSelector(
    RoutingState state,
    EndpointSuitability suitability,
    SlowdownEstimator slowdownEstimator,
    ReplicaPositions positions,
    PreferredReplicas preferredReplicas) {

  /** Spread of the random factor that keeps gateways from all choosing the same replica. */
  private static final double JITTER_SPREAD = 0.1;

  private static final double MIN_JITTER = 0.95;

  /** Relative cost of a replica that other gateways prefer. */
  private static final double NOT_PREFERRED_COST = 1.5;

  /** Relative cost of a replica to which no connection is idle. */
  private static final double CONNECT_COST = 1.5;

  /** The same while setting up connections takes too long. */
  private static final double EXPENSIVE_CONNECT_COST = 4;

  /** What a unit of the settings' cost of crossing zones adds to the relative cost. */
  private static final double CROSS_ZONE_COST_FACTOR = 5;

  /**
   * The replica of least cost among those that suit and cover the position that the read requires,
   * and that it was not sent to before; null when there is none.
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
        && suitability.suits(endpoint, request, 1)
        && positions.covers(endpoint, requiredPositionMicros);
  }

  /** Expected time to an answer, relative to other replicas. Draws one random number. */
  private double cost(EndpointState endpoint, boolean preferred) {
    return slowdownEstimator.expected(endpoint)
        * (endpoint.attemptsOut.size() + 1)
        / endpoint.capacityHint()
        * jitter()
        * (preferred ? 1 : NOT_PREFERRED_COST)
        * connectCost(endpoint)
        * zoneCost(endpoint);
  }

  private double jitter() {
    return MIN_JITTER + JITTER_SPREAD * state.random.nextDouble();
  }

  private double connectCost(EndpointState endpoint) {
    if (state.nowMicros < endpoint.idleConnectionUntilMicros) {
      return 1;
    }
    return state.nowMicros < state.connectionsExpensiveUntilMicros
        ? EXPENSIVE_CONNECT_COST
        : CONNECT_COST;
  }

  private double zoneCost(EndpointState endpoint) {
    return endpoint.listed.zone().equals(state.settings.gateway().zone())
        ? 1
        : 1 + CROSS_ZONE_COST_FACTOR * state.settings.crossZoneCost();
  }
}

package shelffront.decision;

import shelffront.fleet.SlowStartBudget;
import shelffront.routing.SafetyRules;

/**
 * Limits the requests to endpoints that are warming up, so that the gateways of the fleet together
 * do not overload them.
 *
 * <p>Invariant: an endpoint that has reached its full capacity is not limited here.
 */
record SlowStartAdmission(RoutingState state) {

  /**
   * Updates the mean number of recent sends to warm endpoints per unit of capacity; keeps the last
   * value while there is no warm endpoint.
   */
  void updateWarmEndpointSends() {
    state.warmEndpointSends =
        state.endpoints.values().stream()
            .filter(endpoint -> endpoint.assignable && isWarm(endpoint))
            .filter(endpoint -> !endpoint.isEjected(state.nowMicros))
            .mapToDouble(
                endpoint -> endpoint.recentSends.count(state.nowMicros) / endpoint.capacityHint())
            .average()
            .orElse(state.warmEndpointSends);
  }

  /** Minimum fraction of its capacity, 0 to 1, that the endpoint has reached at its age. */
  double capacityFraction(EndpointState endpoint) {
    long startedAtMicros = endpoint.listed.startedAtMicros();
    if (startedAtMicros <= 0) {
      return 1;
    }
    SafetyRules rules = state.settings.safetyRules();
    return SlowStartBudget.capacityFraction(
        state.nowMicros - startedAtMicros,
        rules.slowStartInitialCapacity(),
        rules.slowStartDurationMicros());
  }

  private boolean isWarm(EndpointState endpoint) {
    return capacityFraction(endpoint) >= 1;
  }

  /**
   * Whether the budget of a warming endpoint covers the request. No request is sent to such an
   * endpoint twice: in a search for the primary, attempts that it rejects add to its load too.
   */
  boolean admits(PendingRequest request, EndpointState endpoint) {
    if (isWarm(endpoint)) {
      return true;
    }
    if (request.wasSentTo(endpoint)) {
      return false;
    }
    ReplicaSet replicaSet = endpoint.replicaSet;
    return replicaSet.slowStartBudget.admits(
        state.nowMicros,
        request.request.id(),
        request.requestClass.requiresPrimary(),
        endpoint.isPrimary(),
        replicaSet.primary != null,
        precedingBudgets(endpoint),
        budget(endpoint));
  }

  /**
   * Sum of the budgets of the warming endpoints that precede this one, by id and with the primary
   * last.
   */
  private double precedingBudgets(EndpointState endpoint) {
    return endpoint.replicaSet.endpoints.values().stream()
        .filter(other -> other.assignable && !other.isPrimary() && !isWarm(other))
        .filter(other -> endpoint.isPrimary() || other.id.compareTo(endpoint.id) < 0)
        .mapToDouble(this::budget)
        .sum();
  }

  /**
   * Number of requests that the endpoint may get within the budget's window. The usual sends
   * include one request divided among the endpoints of the replica set, so that the endpoint is
   * tried at all.
   */
  private double budget(EndpointState endpoint) {
    double usualSends =
        state.warmEndpointSends * endpoint.capacityHint()
            + 1.0 / endpoint.replicaSet.endpoints.size();
    return endpoint.replicaSet.slowStartBudget.budget(
        state.nowMicros,
        capacityFraction(endpoint),
        state.settings.safetyRules().overloadFactor(),
        usualSends,
        endpoint.isPrimary());
  }
}

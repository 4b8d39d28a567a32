package shelffront.decision;

import shelffront.fleet.SlowStartBudget;
import shelffront.routing.SafetyRules;

/**
 * Which requests may go to an endpoint that is warming up, so that the fleet together does not
 * overload it.
 *
 * <p>Invariant: an endpoint that has all of its capacity is not limited here.
 */
record SlowStartAdmission(RoutingState state) {

  /** Counts anew what a warm endpoint of capacity 1 gets; keeps the count while there is none. */
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

  /** Fraction of its capacity, 0 to 1, that an endpoint has at least, by its age. */
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
   * Whether the budget of a warming endpoint covers the request. No request goes to one twice: in a
   * search for the primary, attempts that are sent back are work for it too.
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
        budgetBefore(endpoint),
        budget(endpoint));
  }

  /** Budgets of the warming endpoints that come before this one: by id, the primary last. */
  private double budgetBefore(EndpointState endpoint) {
    return endpoint.replicaSet.endpoints.values().stream()
        .filter(other -> other.assignable && !other.isPrimary() && !isWarm(other))
        .filter(other -> endpoint.isPrimary() || other.id.compareTo(endpoint.id) < 0)
        .mapToDouble(this::budget)
        .sum();
  }

  /** Requests in the budget's window; an endpoint's set adds one, so that it is tried at all. */
  private double budget(EndpointState endpoint) {
    double fairSends =
        state.warmEndpointSends * endpoint.capacityHint()
            + 1.0 / endpoint.replicaSet.endpoints.size();
    return endpoint.replicaSet.slowStartBudget.budget(
        state.nowMicros,
        capacityFraction(endpoint),
        state.settings.safetyRules().overloadFactor(),
        fairSends,
        endpoint.isPrimary());
  }
}

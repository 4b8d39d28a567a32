package shelffront.decision;

import static java.util.stream.Collectors.toList;
import static shelffront.routing.Router.UNKNOWN;

import java.util.List;
import shelffront.fleet.EndpointSubsetting;
import shelffront.routing.GatewayIdentity;

/**
 * The replicas of a set that this gateway prefers, so that a large fleet does not hold connections
 * from every gateway to every host.
 */
record PreferredReplicas(RoutingState state, HealthChecker healthChecker) {

  /**
   * Ids of the preferred replicas. Chosen anew after the list or the primary changed; those never
   * asked are health-checked then, since one is wanted now.
   */
  List<String> of(ReplicaSet replicaSet) {
    if (replicaSet.preferredReplicas == null) {
      replicaSet.preferredReplicas = choose(replicaSet);
      replicaSet.preferredReplicas.stream()
          .map(replicaSet.endpoints::get)
          .filter(endpoint -> endpoint.healthCheckedAtMicros == UNKNOWN)
          .forEach(healthChecker::check);
    }
    return replicaSet.preferredReplicas;
  }

  private List<String> choose(ReplicaSet replicaSet) {
    List<String> replicas =
        replicaSet.endpoints.values().stream()
            .filter(endpoint -> endpoint.assignable && !endpoint.isPrimary())
            .map(endpoint -> endpoint.id)
            .collect(toList());
    GatewayIdentity gateway = state.settings.gateway();
    return EndpointSubsetting.subsets(gateway.gatewayIndex(), gateway.gatewayCount(), replicas);
  }
}

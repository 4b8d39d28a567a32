package shelffront.decision;

import static java.util.stream.Collectors.toList;
import static shelffront.routing.Router.UNKNOWN;

import java.util.List;
import shelffront.fleet.EndpointSubsetting;
import shelffront.routing.GatewayIdentity;

/**
 * Selects the replicas of a set that this gateway prefers, so that in a large fleet not every
 * gateway holds connections to every host.
 */
record PreferredReplicas(RoutingState state, HealthChecker healthChecker) {

  /**
   * Returns the ids of the preferred replicas. They are recomputed after a change of the endpoint
   * list or of the primary; replicas that were never health-checked are then checked, because a
   * request needs one now.
   */
  List<String> of(ReplicaSet replicaSet) {
    if (replicaSet.preferredReplicas == null) {
      replicaSet.preferredReplicas = selectSubset(replicaSet);
      replicaSet.preferredReplicas.stream()
          .map(replicaSet.endpoints::get)
          .filter(endpoint -> endpoint.healthCheckedAtMicros == UNKNOWN)
          .forEach(healthChecker::check);
    }
    return replicaSet.preferredReplicas;
  }

  private List<String> selectSubset(ReplicaSet replicaSet) {
    List<String> replicas =
        replicaSet.endpoints.values().stream()
            .filter(endpoint -> endpoint.assignable && !endpoint.isPrimary())
            .map(endpoint -> endpoint.id)
            .collect(toList());
    GatewayIdentity gateway = state.settings.gateway();
    return EndpointSubsetting.subsets(gateway.gatewayIndex(), gateway.gatewayCount(), replicas);
  }
}

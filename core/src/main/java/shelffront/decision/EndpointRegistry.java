package shelffront.decision;

import static shelffront.routing.Router.UNKNOWN;

import java.util.List;
import shelffront.fleet.EndpointSubsetting;
import shelffront.routing.Availability;
import shelffront.routing.Endpoint;

/**
 * Maintains the endpoints named by the endpoint list.
 *
 * <p>Invariant: an endpoint belongs to one replica set only, the one under which the list named it
 * last.
 */
record EndpointRegistry(RoutingState state, RoleTracker roleTracker, HealthChecker healthChecker) {

  /** Initial limit of concurrent attempts at an endpoint, summed over all gateways. */
  private static final double INITIAL_FLEET_CONCURRENCY = 24;

  /** Applies entries of the endpoint list. */
  void apply(List<Endpoint> entries) {
    for (Endpoint entry : entries) {
      if (entry.availability() == Availability.READY) {
        add(entry);
      } else if (state.endpoints.containsKey(entry.id())) {
        withdraw(state.endpoints.get(entry.id()), entry.availability() == Availability.REMOVED);
      }
    }
  }

  /** Withdraws endpoints that a complete endpoint list no longer names. */
  void removeUnlisted(List<Endpoint> entries) {
    List<String> listedIds = entries.stream().map(Endpoint::id).toList();
    List.copyOf(state.endpoints.values()).stream()
        .filter(endpoint -> !listedIds.contains(endpoint.id))
        .forEach(endpoint -> withdraw(endpoint, true));
  }

  private void add(Endpoint entry) {
    removeFromOtherReplicaSet(entry);
    EndpointState endpoint = state.endpoints.computeIfAbsent(entry.id(), EndpointState::new);
    boolean restarted =
        endpoint.listed == null
            || !endpoint.assignable
            || endpoint.listed.startedAtMicros() != entry.startedAtMicros();
    endpoint.listed = entry;
    endpoint.assignable = true;
    int gatewayCount = state.settings.gateway().gatewayCount();
    endpoint.concurrencyLimit.initialize(Math.max(1, INITIAL_FLEET_CONCURRENCY / gatewayCount));
    join(state.replicaSet(entry.replicaSet()), endpoint, restarted);
    if (restarted) {
      endpoint.ejectedUntilMicros = UNKNOWN;
      endpoint.healthCheckedAtMicros = UNKNOWN;
      if (EndpointSubsetting.coversAllEndpoints(gatewayCount)) {
        healthChecker.check(endpoint);
      }
    }
  }

  /**
   * Forgets an endpoint that moved to another replica set, because its known position refers to the
   * log of the previous set.
   */
  private void removeFromOtherReplicaSet(Endpoint entry) {
    EndpointState known = state.endpoints.get(entry.id());
    if (known != null && known.listed.replicaSet() != entry.replicaSet()) {
      known.assignable = false;
      withdraw(known, true);
    }
  }

  private void join(ReplicaSet replicaSet, EndpointState endpoint, boolean restarted) {
    endpoint.replicaSet = replicaSet;
    replicaSet.listed = true;
    replicaSet.endpoints.put(endpoint.id, endpoint);
    replicaSet.preferredReplicas = null;
    roleTracker.recordListed(endpoint, restarted);
  }

  /**
   * Stops sending attempts to the endpoint, and forgets it if it was removed. If removal is
   * advisory, the list does not prove an endpoint down, so an assignable endpoint stays in use and
   * is judged by its own attempts and health checks.
   */
  private void withdraw(EndpointState endpoint, boolean removed) {
    if (removed && endpoint.assignable && state.settings.safetyRules().removalIsAdvisory()) {
      return;
    }
    ReplicaSet replicaSet = endpoint.replicaSet;
    endpoint.assignable = false;
    replicaSet.preferredReplicas = null;
    if (removed) {
      state.endpoints.remove(endpoint.id);
      replicaSet.endpoints.remove(endpoint.id);
      roleTracker.recordRemoved(endpoint);
    } else {
      roleTracker.recordWithdrawn(endpoint);
    }
  }
}

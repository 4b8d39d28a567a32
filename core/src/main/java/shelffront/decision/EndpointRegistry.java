package shelffront.decision;

import static shelffront.routing.Router.UNKNOWN;

import java.util.List;
import shelffront.fleet.EndpointSubsetting;
import shelffront.routing.Availability;
import shelffront.routing.Endpoint;

/**
 * The endpoints that the endpoint list names.
 *
 * <p>Invariant: an endpoint is part of the replica set that the list names last, and of no other.
 */
record EndpointRegistry(RoutingState state, HealthChecker healthChecker) {

  /** Attempts at a time of all gateways to an endpoint of which nothing is known. */
  private static final double INITIAL_FLEET_CONCURRENCY = 24;

  /** Takes in entries of the list. */
  void apply(List<Endpoint> entries) {
    for (Endpoint entry : entries) {
      if (entry.availability() == Availability.READY) {
        add(entry);
      } else if (state.endpoints.containsKey(entry.id())) {
        withdraw(state.endpoints.get(entry.id()), entry.availability() == Availability.REMOVED);
      }
    }
  }

  /** Withdraws the endpoints that a whole list no longer names. */
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
    join(state.replicaSet(entry.replicaSet()), endpoint);
    if (restarted) {
      endpoint.ejectedUntilMicros = UNKNOWN;
      endpoint.healthCheckedAtMicros = UNKNOWN;
      if (EndpointSubsetting.coversAllEndpoints(gatewayCount)) {
        healthChecker.check(endpoint);
      }
    }
  }

  /** What is known of an endpoint that moved is of another set's log, and is forgotten. */
  private void removeFromOtherReplicaSet(Endpoint entry) {
    EndpointState known = state.endpoints.get(entry.id());
    if (known != null && known.listed.replicaSet() != entry.replicaSet()) {
      known.assignable = false;
      withdraw(known, true);
    }
  }

  /** The list's word on the primary counts only until a message names its role. */
  private static void join(ReplicaSet replicaSet, EndpointState endpoint) {
    endpoint.replicaSet = replicaSet;
    replicaSet.endpoints.put(endpoint.id, endpoint);
    if (endpoint.listed.listedAsPrimary()
        && replicaSet.primary == null
        && replicaSet.primaryKnownAtMicros == UNKNOWN) {
      replicaSet.primary = endpoint;
    }
    replicaSet.preferredReplicas = null;
  }

  /**
   * Sends no more attempts to an endpoint, and forgets it where it was removed. Where removal is
   * advisory the list does not prove an endpoint down, and only its own attempts do.
   */
  private void withdraw(EndpointState endpoint, boolean removed) {
    if (removed && endpoint.assignable && state.settings.safetyRules().removalIsAdvisory()) {
      return;
    }
    ReplicaSet replicaSet = endpoint.replicaSet;
    endpoint.assignable = false;
    if (removed) {
      state.endpoints.remove(endpoint.id);
      replicaSet.endpoints.remove(endpoint.id);
    }
    replicaSet.preferredReplicas = null;
    if (endpoint.isPrimary()) {
      replicaSet.primary = null;
    }
  }
}

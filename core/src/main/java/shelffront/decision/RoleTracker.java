package shelffront.decision;

import java.util.Objects;
import java.util.function.Consumer;
import shelffront.consistency.ReplicaSetRoles;
import shelffront.routing.LoadReportSource;
import shelffront.routing.RoleReport;

/**
 * Passes what the endpoint list and the endpoints tell about roles to the {@link ReplicaSetRoles}
 * of their replica set.
 *
 * <p>Invariant: {@link ReplicaSet#primary} is the presumed primary of the set if that is
 * assignable, otherwise null.
 */
record RoleTracker(RoutingState state) {

  /**
   * Records that the list names the endpoint as ready.
   *
   * @param restarted whether it was not assignable before, or has a new start time
   */
  void recordListed(EndpointState endpoint, boolean restarted) {
    ReplicaSet formerSet = state.primarySets.get(endpoint.id);
    if (formerSet != null && formerSet != endpoint.replicaSet) {
      update(formerSet, roles -> roles.recordMoved(endpoint.id));
    }
    update(
        endpoint.replicaSet,
        roles -> {
          if (restarted && canBeAsked()) {
            roles.recordReturned(endpoint.id, state.nowMicros);
          }
          roles.recordListed(
              endpoint.id,
              endpoint.listed.listedAsPrimary(),
              state.roleReportsMissed,
              state.nowMicros);
        });
  }

  /** Whether a health check of an endpoint may prove its role. */
  private boolean canBeAsked() {
    return state.settings.limits().healthChecksAllowed()
        && state.settings.loadReportSource() != LoadReportSource.NONE;
  }

  /** Records that the endpoint is not assignable any more. */
  void recordWithdrawn(EndpointState endpoint) {
    update(endpoint.replicaSet, roles -> {});
  }

  /** Records that the endpoint has left its replica set. */
  void recordRemoved(EndpointState endpoint) {
    state.roleReportsMissed = true;
    update(endpoint.replicaSet, roles -> roles.recordRemoved(endpoint.id));
  }

  /**
   * Records a report about an endpoint, which may have been removed from the replica set, or listed
   * anew, since it was asked.
   */
  void record(ReplicaSet replicaSet, String endpointId, RoleReport report) {
    EndpointState before = replicaSet.primary;
    update(replicaSet, roles -> roles.record(endpointId, report));
    EndpointState after = replicaSet.primary;
    if (after == before) {
      return;
    }
    if (after == null) {
      replicaSet.lastSearchedId = endpointId;
      state.logRateLimited("group " + before.listed.replicaSet() + " has no known primary");
    } else {
      replicaSet.lastSearchedId = "";
      state.logRateLimited("primary of group " + after.listed.replicaSet() + " is " + after.id);
    }
  }

  private void update(ReplicaSet replicaSet, Consumer<ReplicaSetRoles> change) {
    ReplicaSetRoles roles = replicaSet.roles;
    String formerId = roles.primaryId();
    change.accept(roles);
    String presumedId = roles.primaryId();
    if (!Objects.equals(formerId, presumedId)) {
      state.primarySets.remove(formerId, replicaSet);
      if (presumedId != null) {
        state.primarySets.put(presumedId, replicaSet);
      }
    }
    EndpointState presumed = presumedId == null ? null : replicaSet.endpoints.get(presumedId);
    EndpointState primary = presumed != null && presumed.assignable ? presumed : null;
    if (replicaSet.primary != primary) {
      replicaSet.primary = primary;
      replicaSet.preferredReplicas = null;
    }
  }
}

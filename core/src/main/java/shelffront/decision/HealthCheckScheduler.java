package shelffront.decision;

import static java.util.stream.Collectors.toList;

import java.util.Collections;
import java.util.Comparator;
import java.util.List;

/**
 * Health-checks endpoints when queued requests need up-to-date reports.
 *
 * <p>Invariant: checks stay within the gateway's {@code HealthCheckBudget}, and none is started
 * while {@link #MAX_OUTSTANDING_CHECKS} are outstanding in the replica set.
 */
record HealthCheckScheduler(
    RoutingState state, PreferredReplicas preferredReplicas, HealthChecker healthChecker) {

  private static final int MAX_OUTSTANDING_CHECKS = 2;

  /**
   * Checks endpoints whose reports are outdated. The primary is checked only while it is missing or
   * its role is not trusted, and first, because requests that require it have no alternative;
   * preferred replicas come before the others. While no healthy primary is known, recent position
   * reports do not defer a check, because the question is which endpoints are alive.
   */
  void checkForQueuedRequests(ReplicaSet replicaSet) {
    boolean primaryMissing = isPrimaryMissing(replicaSet);
    long outstandingChecks =
        replicaSet.endpoints.values().stream()
            .filter(endpoint -> endpoint.healthCheckPending)
            .count();
    for (EndpointState endpoint : dueEndpoints(replicaSet, primaryMissing)) {
      if (outstandingChecks < MAX_OUTSTANDING_CHECKS && state.healthCheckBudget.tryAcquire()) {
        outstandingChecks++;
        healthChecker.check(endpoint);
      }
    }
  }

  private boolean isPrimaryMissing(ReplicaSet replicaSet) {
    EndpointState primary = replicaSet.primary;
    return primary == null
        || !replicaSet.isTrustedPrimary(primary)
        || primary.isEjected(state.nowMicros)
        || primary.onProbation;
  }

  private List<EndpointState> dueEndpoints(ReplicaSet replicaSet, boolean primaryMissing) {
    List<EndpointState> due =
        replicaSet.endpoints.values().stream()
            .filter(endpoint -> primaryMissing || !endpoint.isPrimary())
            .filter(
                endpoint ->
                    endpoint.progress.isHealthCheckDue(
                        state.nowMicros, endpoint.healthCheckedAtMicros, primaryMissing))
            .collect(toList());
    Collections.shuffle(due, state.random);
    due.sort(
        Comparator.comparing((EndpointState endpoint) -> !endpoint.isPrimary())
            .thenComparing(endpoint -> !preferredReplicas.of(replicaSet).contains(endpoint.id)));
    return due;
  }
}

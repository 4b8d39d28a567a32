package shelffront.decision;

import static java.util.stream.Collectors.toList;

import java.util.Collections;
import java.util.Comparator;
import java.util.List;

/**
 * Which endpoints are health-checked because requests wait for one.
 *
 * <p>Invariant: checks stay within the gateway's {@code HealthCheckBudget}, and at most {@link
 * #MAX_CHECKS_OUT} are started while that many are out in a replica set.
 */
record HealthCheckScheduler(
    RoutingState state, PreferredReplicas preferredReplicas, HealthChecker healthChecker) {

  private static final int MAX_CHECKS_OUT = 2;

  /**
   * Checks endpoints whose reports are old: the primary first, since what waits for it has no
   * other, then the preferred replicas. While no working primary is known all of them are asked, as
   * whether they live is the question.
   */
  void checkForQueuedRequests(ReplicaSet replicaSet) {
    boolean primaryMissing = isPrimaryMissing(replicaSet);
    long checksOut =
        replicaSet.endpoints.values().stream().filter(endpoint -> endpoint.healthCheckOut).count();
    for (EndpointState endpoint : dueEndpoints(replicaSet, primaryMissing)) {
      if (checksOut < MAX_CHECKS_OUT && state.healthCheckBudget.tryAcquire()) {
        checksOut++;
        healthChecker.check(endpoint);
      }
    }
  }

  private boolean isPrimaryMissing(ReplicaSet replicaSet) {
    EndpointState primary = replicaSet.primary;
    return primary == null || primary.isEjected(state.nowMicros) || primary.onProbation;
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

package shelffront.decision;

import java.util.List;
import java.util.Random;
import shelffront.consistency.ReplicationProgress;
import shelffront.fleet.HealthCheckBudget;
import shelffront.routing.AttemptOutcome;
import shelffront.routing.AttemptStatus;
import shelffront.routing.Endpoint;
import shelffront.routing.EndpointUpdateKind;
import shelffront.routing.LoadReport;
import shelffront.routing.Request;
import shelffront.routing.RequestClass;
import shelffront.routing.RoleReport;
import shelffront.routing.Router;
import shelffront.routing.RouterActions;
import shelffront.routing.RoutingSettings;

/**
 * Makes all routing decisions: receives the events of {@link Router} and passes each one to the
 * policies concerned.
 *
 * <p>A session read goes to a replica that has applied the session's last write or, if none is
 * available within a short bounded wait, to the primary. A request that cannot be sent yet is
 * queued in its replica set and dispatched again when something in the set changes; a timer covers
 * every queued request.
 *
 * <p>Invariants: the engine gives each request at most one final response; the same events produce
 * the same actions. Not thread-safe: all methods must be called on one thread.
 */
public final class RoutingEngine implements Router {

  /** Ratio of a class's latency objective to its initial typical service time. */
  private static final double INITIAL_OBJECTIVE_PER_SERVICE_TIME = 4.0;

  private static final long MAINTENANCE_INTERVAL_MICROS =
      ReplicationProgress.STALE_AFTER_MICROS / 2;

  final RoutingState state;
  private final RoutingPolicies policies;

  /**
   * Creates an engine for one gateway, or for one tenant of it, that acts through {@code actions}.
   */
  public RoutingEngine(RouterActions actions) {
    state = new RoutingState(actions);
    policies = new RoutingPolicies(state);
    state.replicaSetChanged = policies.scheduler::dispatchQueued;
  }

  @Override
  public void onStart(long nowMicros, long seed, RoutingSettings settings) {
    state.nowMicros = nowMicros;
    state.settings = settings;
    state.random = new Random(seed);
    state.forgetExecutedRequests();
    state.healthCheckBudget =
        new HealthCheckBudget(settings.healthCheckCost(), settings.gateway().gatewayCount());
    state.typicalServiceMicros =
        settings.requestClasses().stream()
            .mapToDouble(RoutingEngine::initialServiceMicros)
            .toArray();
    if (settings.endpointList().polled()) {
      state.actions.watchEndpoints(true);
    }
    maintain();
  }

  private static double initialServiceMicros(RequestClass requestClass) {
    return requestClass.latencyObjectiveMicros() / INITIAL_OBJECTIVE_PER_SERVICE_TIME;
  }

  @Override
  public void onEndpoints(
      long nowMicros, EndpointUpdateKind kind, long version, List<Endpoint> endpoints) {
    state.nowMicros = nowMicros;
    if (kind == EndpointUpdateKind.FAILED) {
      policies.listBackoff.recordFailure();
      return;
    }
    policies.listBackoff.recordSuccess();
    if (kind != EndpointUpdateKind.DELTA) {
      policies.registry.removeUnlisted(endpoints);
    }
    policies.registry.apply(endpoints);
    // A copy, since a set that no list names is dropped with its last request.
    List.copyOf(state.replicaSets.values()).forEach(policies.scheduler::dispatchQueued);
  }

  @Override
  public void onRequest(long nowMicros, Request request) {
    state.nowMicros = nowMicros;
    state.healthCheckBudget.recordRequest();
    RequestClass requestClass = state.settings.requestClasses().get(request.classIndex());
    ReplicaSet replicaSet = state.replicaSet(request.replicaSet());
    PendingRequest pending =
        new PendingRequest(
            request,
            requestClass,
            replicaSet,
            policies.positions.sessionPosition(request),
            requestClass.isIdempotent()
                ? null
                : state.executedRequests.find(request.id(), nowMicros),
            nowMicros);
    state.pendingRequests.put(request.id(), pending);
    replicaSet.openRequests++;
    replicaSet.slowStartBudget.recordRequest(nowMicros, requestClass.requiresPrimary());
    long lastTickMicros = pending.deadlineMicros - state.settings.tickMicros();
    state.schedule(
        pending, Math.max(nowMicros, lastTickMicros), () -> policies.loadShedder.shed(pending));
    policies.scheduler.dispatch(pending);
  }

  @Override
  public void onAttemptOutcome(long nowMicros, AttemptOutcome outcome) {
    state.nowMicros = nowMicros;
    Attempt attempt =
        state.outstandingAttempts.remove(
            new AttemptId(outcome.requestId(), outcome.attemptNumber()));
    EndpointState endpoint =
        attempt != null ? attempt.endpoint : state.endpoints.get(outcome.endpointId());
    if (endpoint != null) {
      policies.reports.recordResponse(endpoint, attempt, outcome);
    }
    if (attempt == null) {
      return;
    }
    attempt.status = outcome.status();
    endpoint.outstandingAttempts.remove(attempt);
    keepOrCloseConnection(endpoint);
    policies.attemptOutcomes.record(attempt, outcome);
    recordExecution(attempt);
    recordSessionWrite(attempt.request, outcome);
    completeOrRetry(attempt.request, outcome);
    policies.scheduler.dispatchQueued(attempt.request.replicaSet);
  }

  /** Keeps the attempt's connection as idle, unless the endpoint's connections are scarce. */
  private void keepOrCloseConnection(EndpointState endpoint) {
    boolean scarce = state.nowMicros < endpoint.connectionsScarceUntilMicros;
    if (scarce && endpoint.outstandingAttempts.isEmpty()) {
      endpoint.idleConnectionUntilMicros = UNKNOWN;
      state.actions.closeIdleConnections(endpoint.id);
    } else {
      endpoint.idleConnectionUntilMicros =
          state.nowMicros + state.settings.limits().connectionIdleMicros();
    }
  }

  /** Remembers a request that must not be executed at will again, if it comes again. */
  private void recordExecution(Attempt attempt) {
    if (!attempt.request.requestClass.isIdempotent() && attempt.mayHaveBeenExecuted()) {
      state.executedRequests.record(
          attempt.request.request.id(), attempt.request.firstPossibleExecution(), state.nowMicros);
    }
  }

  /**
   * Remembers the commit position of a session's write, unless clients carry the position. Without
   * a position in the response, the current time takes its place.
   */
  private void recordSessionWrite(PendingRequest request, AttemptOutcome outcome) {
    if (outcome.status() == AttemptStatus.OK
        && request.requestClass.isWrite()
        && request.request.sessionId() != null
        && !state.settings.consistency().clientsCarryPosition()) {
      long commitMicros =
          outcome.positionMicros() == UNKNOWN ? state.nowMicros : outcome.positionMicros();
      state.sessions.recordWrite(
          request.request.sessionId(), request.request.replicaSet(), commitMicros);
    }
  }

  /**
   * Completes the request if it has its response, otherwise dispatches it again if no attempt is
   * outstanding.
   */
  private void completeOrRetry(PendingRequest request, AttemptOutcome outcome) {
    if (outcome.requestCompleted() || outcome.status() == AttemptStatus.OK) {
      policies.completion.complete(request);
    }
    if (request.open && !request.hasOutstandingAttempt()) {
      request.rejectedByReplica |=
          outcome.status() == AttemptStatus.REPLICA_UNSUITABLE && !request.requestClass.isWrite();
      policies.scheduler.dispatch(request);
    }
  }

  @Override
  public boolean mayStartAttempt(long nowMicros, String requestId, int attemptNumber) {
    state.nowMicros = nowMicros;
    Attempt attempt = state.outstandingAttempts.get(new AttemptId(requestId, attemptNumber));
    return attempt != null && policies.admission.stillAdmits(attempt);
  }

  @Override
  public void onHealthCheckResult(
      long nowMicros,
      String endpointId,
      AttemptStatus status,
      long elapsedMicros,
      LoadReport loadReport) {
    state.nowMicros = nowMicros;
    EndpointState endpoint = state.endpoints.get(endpointId);
    if (endpoint != null) {
      policies.healthCheckOutcomes.record(endpoint, status, loadReport);
      policies.scheduler.dispatchQueued(endpoint.replicaSet);
    }
  }

  @Override
  public void onRoleReportsMissed(long nowMicros) {
    state.nowMicros = nowMicros;
    policies.reports.recordMissedReports();
  }

  @Override
  public void onReplicaReport(long nowMicros, String endpointId, RoleReport report) {
    state.nowMicros = nowMicros;
    policies.reports.recordReplicaReport(endpointId, report);
  }

  @Override
  public void onPeerMessage(long nowMicros, int gatewayIndex, byte[] payload) {
    state.nowMicros = nowMicros;
  }

  @Override
  public void onTimer(long nowMicros, String timerName) {
    state.nowMicros = nowMicros;
    state.timers.runDue(nowMicros);
  }

  @Override
  public void onClientDisconnected(long nowMicros, String requestId) {
    state.nowMicros = nowMicros;
    PendingRequest request = state.pendingRequests.get(requestId);
    if (request != null) {
      policies.completion.complete(request);
    }
  }

  /** Updates averages and dispatches queued requests; schedules itself again. */
  private void maintain() {
    policies.queueOrder.update();
    policies.slowStartAdmission.updateWarmEndpointSends();
    for (ReplicaSet replicaSet : List.copyOf(state.replicaSets.values())) {
      if (replicaSet.hasQueuedRequests()) {
        policies.healthChecks.checkForQueuedRequests(replicaSet);
        policies.scheduler.dispatchQueued(replicaSet);
      }
    }
    state.schedule(state.nowMicros + MAINTENANCE_INTERVAL_MICROS, this::maintain);
  }
}

package shelffront.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import shelffront.routing.AttemptOutcome;
import shelffront.routing.AttemptStatus;
import shelffront.routing.Availability;
import shelffront.routing.Consistency;
import shelffront.routing.ConsistencySettings;
import shelffront.routing.DeduplicationScope;
import shelffront.routing.Endpoint;
import shelffront.routing.EndpointListSettings;
import shelffront.routing.EndpointUpdateKind;
import shelffront.routing.GatewayIdentity;
import shelffront.routing.Idempotency;
import shelffront.routing.LagCheck;
import shelffront.routing.ListedRoles;
import shelffront.routing.LoadReport;
import shelffront.routing.LoadReportSource;
import shelffront.routing.OperatingLimits;
import shelffront.routing.Request;
import shelffront.routing.RequestClass;
import shelffront.routing.Role;
import shelffront.routing.Router;
import shelffront.routing.RoutingSettings;
import shelffront.routing.SafetyRules;

/**
 * Drives one {@link RoutingEngine} with a manual clock and a small replica set, and offers short
 * methods for its events.
 */
final class RoutingTestHarness {

  static final int BOUNDED_READ = 0;
  static final int SESSION_READ = 1;
  static final int NON_IDEMPOTENT_WRITE = 2;
  static final int KEYED_WRITE = 3;
  static final int EVENTUAL_READ = 4;
  static final int STRONG_READ = 5;
  static final long MS = 1000;
  static final long START_MICROS = 1_000_000_000;

  final RecordingActions actions = new RecordingActions();
  final RoutingEngine router = new RoutingEngine(actions);
  long nowMicros = START_MICROS;
  private int readLineCount;

  LagCheck lagCheck = LagCheck.NONE;
  boolean clientsCarryPosition = true;
  boolean hedgingAllowed = true;
  boolean healthChecksAllowed = true;
  boolean endpointListPolled;
  boolean retryAfterAllowed = true;
  boolean removalIsAdvisory;
  int maxAttempts = 6;
  int gatewayCount = 4;
  int gatewayIndex;
  DeduplicationScope deduplicationScope = DeduplicationScope.REPLICA_SET;
  double healthCheckCost = 0.01;

  RoutingSettings settings() {
    List<RequestClass> classes =
        List.of(
            new RequestClass(
                "bounded",
                500 * MS,
                1500 * MS,
                1,
                0,
                Idempotency.IDEMPOTENT,
                DeduplicationScope.ALL,
                0,
                Consistency.BOUNDED_STALENESS,
                800 * MS),
            new RequestClass(
                "session",
                600 * MS,
                1500 * MS,
                1,
                0,
                Idempotency.IDEMPOTENT,
                DeduplicationScope.ALL,
                0,
                Consistency.SESSION,
                0),
            new RequestClass(
                "once",
                500 * MS,
                3000 * MS,
                3,
                0.5,
                Idempotency.NON_IDEMPOTENT,
                DeduplicationScope.ALL,
                0,
                Consistency.WRITE,
                0),
            new RequestClass(
                "keyed",
                1000 * MS,
                5000 * MS,
                3,
                0.5,
                Idempotency.IDEMPOTENCY_KEY,
                deduplicationScope,
                3000 * MS,
                Consistency.WRITE,
                0),
            new RequestClass(
                "any",
                400 * MS,
                1200 * MS,
                1,
                0.2,
                Idempotency.IDEMPOTENT,
                DeduplicationScope.ALL,
                0,
                Consistency.EVENTUAL,
                0),
            new RequestClass(
                "fresh",
                500 * MS,
                1500 * MS,
                1,
                0,
                Idempotency.IDEMPOTENT,
                DeduplicationScope.ALL,
                0,
                Consistency.STRONG,
                0));
    return new RoutingSettings(
        new GatewayIdentity(gatewayIndex, gatewayCount, "z1"),
        5 * MS,
        classes,
        new ConsistencySettings(lagCheck, 100 * MS, false, clientsCarryPosition),
        new EndpointListSettings(ListedRoles.NONE, endpointListPolled),
        LoadReportSource.HEALTH_CHECKS,
        new SafetyRules(
            500 * MS, 0.25, 20_000 * MS, 2.5, 1500 * MS, removalIsAdvisory, 10_000 * MS, 20 * MS),
        new OperatingLimits(
            maxAttempts,
            2000 * MS,
            retryAfterAllowed,
            true,
            hedgingAllowed,
            healthChecksAllowed,
            true,
            250 * MS,
            30_000 * MS),
        0,
        healthCheckCost);
  }

  /** Starts with endpoints m1 (reported as primary), m2 and m3, all at the current position. */
  RoutingTestHarness start() {
    startWithoutReports("m1", "m2", "m3");
    answerHealthCheck("m1", Role.PRIMARY, nowMicros);
    answerHealthCheck("m2", Role.REPLICA, nowMicros);
    answerHealthCheck("m3", Role.REPLICA, nowMicros);
    newActions();
    return this;
  }

  /** Starts with these endpoints, none of which has reported yet. */
  RoutingTestHarness startWithoutReports(String... ids) {
    router.onStart(nowMicros, 7, settings());
    List<Endpoint> endpoints = new ArrayList<>();
    for (String id : ids) {
      endpoints.add(endpoint(id, 0, Availability.READY));
    }
    router.onEndpoints(nowMicros, EndpointUpdateKind.CACHED, 1, endpoints);
    return this;
  }

  static Endpoint endpoint(String id, long startedAtMicros, Availability availability) {
    return new Endpoint(id, "kind", "z1", 1, 1, startedAtMicros, false, availability);
  }

  void updateEndpoints(Endpoint... endpoints) {
    router.onEndpoints(nowMicros, EndpointUpdateKind.DELTA, 2, List.of(endpoints));
  }

  void answerHealthCheck(String endpointId, Role role, long positionMicros) {
    router.onHealthCheckResult(
        nowMicros,
        endpointId,
        AttemptStatus.OK,
        MS,
        new LoadReport(positionMicros, role, -1, -1, -1));
  }

  void request(String id, int classIndex) {
    request(id, classIndex, 0);
  }

  void request(String id, int classIndex, long sinceWriteMicros) {
    long timeToDeadlineMicros = settings().requestClasses().get(classIndex).deadlineMicros();
    long requiredPositionMicros =
        sinceWriteMicros > 0 ? nowMicros - sinceWriteMicros : Router.UNKNOWN;
    router.onRequest(
        nowMicros,
        new Request(id, classIndex, "s", 1, timeToDeadlineMicros, requiredPositionMicros, false));
  }

  /** A read that any endpoint of the replica set may serve, with this time to its deadline. */
  void requestFor(String id, int replicaSet, long timeToDeadlineMicros) {
    router.onRequest(
        nowMicros,
        new Request(
            id, EVENTUAL_READ, null, replicaSet, timeToDeadlineMicros, Router.UNKNOWN, false));
  }

  void outcome(String id, int attempt, String endpointId, AttemptStatus status, Role role) {
    outcome(id, attempt, endpointId, status, role, 50 * MS);
  }

  void outcome(
      String id,
      int attempt,
      String endpointId,
      AttemptStatus status,
      Role role,
      long elapsedMicros) {
    router.onAttemptOutcome(
        nowMicros,
        new AttemptOutcome(
            id,
            attempt,
            endpointId,
            status,
            status == AttemptStatus.OK,
            elapsedMicros,
            role,
            Router.UNKNOWN,
            null));
  }

  /** Advances the clock; timers fire when due, as the embedding proxy would fire them. */
  void advanceTime(long durationMicros) {
    long endMicros = nowMicros + durationMicros;
    while (true) {
      RecordingActions.Timer next = null;
      for (RecordingActions.Timer timer : actions.timers) {
        next =
            timer.atMicros() <= endMicros && (next == null || timer.atMicros() < next.atMicros())
                ? timer
                : next;
      }
      if (next == null) {
        break;
      }
      actions.timers.remove(next);
      nowMicros = Math.max(nowMicros + 1, next.atMicros());
      router.onTimer(nowMicros, next.name());
    }
    nowMicros = Math.max(nowMicros, endMicros);
  }

  /** Number of health checks of an endpoint so far. */
  long healthChecksOf(String endpointId) {
    return actions.lines.stream()
        .filter(action -> action.equals("checkHealth " + endpointId))
        .count();
  }

  /** Number of health checks of all endpoints so far. */
  long healthChecks() {
    return actions.lines.stream().filter(action -> action.startsWith("checkHealth ")).count();
  }

  /** Returns the actions since the last call, without health checks and log lines. */
  List<String> newActions() {
    List<String> lines =
        actions.lines.subList(readLineCount, actions.lines.size()).stream()
            .filter(action -> !action.startsWith("checkHealth ") && !action.startsWith("log "))
            .collect(Collectors.toList());
    readLineCount = actions.lines.size();
    return lines;
  }

  /** Number of attempts started at an endpoint since the last call of {@link #newActions}. */
  long newSendsTo(String endpointId) {
    return newActions().stream()
        .filter(action -> action.startsWith("send") && action.endsWith(endpointId))
        .count();
  }
}

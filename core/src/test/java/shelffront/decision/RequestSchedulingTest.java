package shelffront.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import shelffront.routing.AttemptStatus;
import shelffront.routing.Availability;
import shelffront.routing.Endpoint;
import shelffront.routing.EndpointUpdateKind;
import shelffront.routing.Request;
import shelffront.routing.Role;

/** Tests when requests are queued, sent, dispatched again and shed, and the cost of this. */
class RequestSchedulingTest {

  private final RoutingTestHarness harness = new RoutingTestHarness();

  /**
   * Guards against duplicate attempts: a timer that was set while the request was queued fires
   * after the request has been sent. It must not start a second attempt, although hedging is
   * allowed.
   */
  @Test
  void sendsQueuedRequestOnceThoughItsTimersRemain() {
    for (int classIndex :
        List.of(
            RoutingTestHarness.NON_IDEMPOTENT_WRITE,
            RoutingTestHarness.KEYED_WRITE,
            RoutingTestHarness.STRONG_READ)) {
      RoutingTestHarness gateway = new RoutingTestHarness();
      gateway.start();
      gateway.updateEndpoints(RoutingTestHarness.endpoint("m1", 0, Availability.DRAINING));
      gateway.request("r", classIndex);
      gateway.advanceTime(100 * RoutingTestHarness.MS);
      gateway.updateEndpoints(RoutingTestHarness.endpoint("m1", 0, Availability.READY));
      gateway.answerHealthCheck("m1", Role.PRIMARY, gateway.nowMicros);
      for (String line : gateway.newActions()) {
        if (line.startsWith("send r") && !line.endsWith("m1")) {
          gateway.outcome(
              "r", 0, line.split(" ")[2], AttemptStatus.REPLICA_UNSUITABLE, Role.REPLICA);
        }
      }
      gateway.advanceTime(20 * RoutingTestHarness.MS);
      gateway.newActions();
      for (int i = 0; i < 50; i++) {
        gateway.advanceTime(20 * RoutingTestHarness.MS);
        gateway.request("w" + i, RoutingTestHarness.NON_IDEMPOTENT_WRITE);
        gateway.outcome(
            "w" + i, 0, "m1", AttemptStatus.OK, Role.PRIMARY, 5 * RoutingTestHarness.MS);
      }
      assertFalse(
          gateway.newActions().stream()
              .anyMatch(action -> action.matches("(send|reject|fail) r( .*)?")),
          "class " + classIndex);
    }
  }

  @Test
  void shedsUnsentRequestBeforeHalfOfItsTime() {
    harness.start();
    harness.updateEndpoints(RoutingTestHarness.endpoint("m1", 0, Availability.DRAINING));
    for (String endpointId : List.of("m2", "m3")) {
      for (int i = 0; i < 12; i++) {
        harness.router.onHealthCheckResult(
            harness.nowMicros,
            endpointId,
            AttemptStatus.TIMEOUT,
            250 * RoutingTestHarness.MS,
            null);
      }
    }
    harness.request("w", RoutingTestHarness.NON_IDEMPOTENT_WRITE);
    harness.advanceTime(1_100 * RoutingTestHarness.MS);
    assertFalse(harness.newActions().stream().anyMatch(action -> action.startsWith("reject w")));
    harness.advanceTime(150 * RoutingTestHarness.MS);
    assertTrue(harness.newActions().stream().anyMatch(action -> action.startsWith("reject w")));
  }

  @Test
  void sendsFewerHealthChecksWhereTheyCostMore() {
    long cheap = healthChecksOfQueuedReads(0.01);
    long expensive = healthChecksOfQueuedReads(0.1);
    assertTrue(expensive <= 20 + 200 * 0.1 + 3, expensive + " health checks");
    assertTrue(cheap > 2 * expensive, cheap + " and " + expensive + " health checks");
  }

  /**
   * Counts the health checks caused by 200 reads over 10 s for which no replica is recent enough.
   */
  private static long healthChecksOfQueuedReads(double healthCheckCost) {
    RoutingTestHarness gateway = new RoutingTestHarness();
    gateway.healthCheckCost = healthCheckCost;
    gateway.start();
    gateway.advanceTime(2_000 * RoutingTestHarness.MS);
    long before = gateway.healthChecks();
    for (int i = 0; i < 200; i++) {
      gateway.request("r" + i, RoutingTestHarness.BOUNDED_READ);
      gateway.advanceTime(50 * RoutingTestHarness.MS);
      gateway.answerHealthCheck(
          "m2", Role.REPLICA, gateway.nowMicros - 5_000 * RoutingTestHarness.MS);
      gateway.answerHealthCheck(
          "m3", Role.REPLICA, gateway.nowMicros - 5_000 * RoutingTestHarness.MS);
    }
    return gateway.healthChecks() - before;
  }

  @Test
  void rejectsRequestWithTooLittleTimeLeftAtOnce() {
    harness.start();
    harness.router.onRequest(
        harness.nowMicros,
        new Request(
            "a",
            RoutingTestHarness.NON_IDEMPOTENT_WRITE,
            "s",
            1,
            60 * RoutingTestHarness.MS,
            0,
            true));
    assertEquals(List.of("reject a"), harness.newActions());
  }

  @Test
  void sendsQueuedRequestsOfHighestValuePerWorkFirst() {
    harness.startWithoutReports("m1", "m2", "m3");
    harness.newActions();
    harness.request("low", RoutingTestHarness.STRONG_READ);
    harness.request("high", RoutingTestHarness.KEYED_WRITE);
    harness.outcome("high", 0, "m1", AttemptStatus.REPLICA_UNSUITABLE, Role.REPLICA);
    harness.outcome("high", 1, "m2", AttemptStatus.OK, Role.PRIMARY);
    assertEquals(List.of("send high m1", "send high m2", "send low m2"), harness.newActions());
  }

  @Test
  void watchesEndpointListAgainAfterFailures() {
    harness.endpointListPolled = true;
    harness.startWithoutReports("m1");
    assertTrue(harness.newActions().contains("watchEndpoints true"));
    for (int i = 0; i < 8; i++) {
      harness.router.onEndpoints(harness.nowMicros, EndpointUpdateKind.FAILED, 0, List.of());
      harness.advanceTime(3_100 * RoutingTestHarness.MS);
      assertEquals(List.of("watchEndpoints true"), harness.newActions());
    }
  }

  /**
   * Guards against work for each outcome that grows with the number of queued requests; without the
   * limit the test takes over 20 s.
   */
  @Test
  void boundsWorkOfAnOutcomeWhileManyRequestsAreQueued() {
    harness.start();
    assertTimeoutPreemptively(
        Duration.ofSeconds(20),
        () -> {
          for (int i = 0; i < 20_000; i++) {
            harness.request("held" + i, RoutingTestHarness.STRONG_READ);
          }
          for (int i = 0; i < 20_000; i++) {
            harness.outcome("unknown", 0, "m2", AttemptStatus.OK, Role.REPLICA);
            harness.request("a" + i, RoutingTestHarness.EVENTUAL_READ);
            harness.outcome("a" + i, 0, "m2", AttemptStatus.OK, Role.REPLICA);
          }
        });
  }

  @Test
  void ignoresUnknownMessagesAndLateEvents() {
    harness.start();
    harness.router.onPeerMessage(harness.nowMicros, 2, new byte[] {9, 9});
    harness.outcome("unknown-request", 0, "m1", AttemptStatus.OK, Role.PRIMARY);
    harness.outcome("unknown-request", 3, "unknown-endpoint", AttemptStatus.RESET, Role.UNKNOWN);
    harness.router.onClientDisconnected(harness.nowMicros, "unknown-request");
    harness.router.onHealthCheckResult(
        harness.nowMicros, "unknown-endpoint", AttemptStatus.OK, 1, null);
    harness.router.onTimer(harness.nowMicros, "unknown-timer");
    assertEquals(List.of(), harness.newActions());
  }

  /**
   * At one request per second, periodic health checks would be either far too frequent or too late,
   * so they are triggered by a read that needs a position.
   */
  @Test
  void checksPositionsOnlyWhenAReadNeedsThem() {
    harness.startWithoutReports("m1", "m2", "m3", "m4", "m5");
    harness.answerHealthCheck("m1", Role.PRIMARY, harness.nowMicros);
    for (String id : List.of("m2", "m3", "m4", "m5")) {
      harness.answerHealthCheck(id, Role.REPLICA, harness.nowMicros);
    }
    harness.actions.lines.clear();
    harness.advanceTime(30_000 * RoutingTestHarness.MS);
    assertEquals(List.of(), harness.actions.lines, "no request needs a position");
    harness.request("a", RoutingTestHarness.BOUNDED_READ);
    assertEquals(
        2, harness.actions.lines.size(), "two endpoints are checked, not the whole replica set");
    String checked = harness.actions.lines.get(0).substring("checkHealth ".length());
    harness.answerHealthCheck(
        checked, Role.REPLICA, harness.nowMicros - 100 * RoutingTestHarness.MS);
    assertTrue(
        harness.actions.lines.contains("send a " + checked), harness.actions.lines.toString());
  }

  /**
   * Guards against overload that a gateway with few requests detects too late: a single timeout is
   * evidence about the whole replica set.
   */
  @Test
  void holdsReadsBackWhileTheirReplicaSetIsSlow() {
    harness.start();
    harness.request("a", RoutingTestHarness.SESSION_READ);
    harness.advanceTime(2_000 * RoutingTestHarness.MS);
    harness.newActions();
    harness.outcome("a", 0, "m2", AttemptStatus.TIMEOUT, Role.UNKNOWN);
    harness.request("b", RoutingTestHarness.SESSION_READ);
    assertFalse(
        harness.newActions().stream().anyMatch(action -> action.startsWith("send b")),
        "no endpoint is expected to respond in time");
    harness.advanceTime(15_000 * RoutingTestHarness.MS);
    harness.request("c", RoutingTestHarness.SESSION_READ);
    assertTrue(
        harness.newActions().stream().anyMatch(action -> action.startsWith("send c")),
        "the recorded slowdown has decayed");
  }

  /** Guards against late work of little value that makes the next requests late as well. */
  @Test
  void shedsReadOfLittleLateValueAtItsObjective() {
    harness.start();
    for (String id : List.of("m1", "m2", "m3")) {
      harness.updateEndpoints(RoutingTestHarness.endpoint(id, 0, Availability.DRAINING));
    }
    harness.request("a", RoutingTestHarness.EVENTUAL_READ);
    harness.advanceTime(401 * RoutingTestHarness.MS);
    assertEquals(List.of("reject a"), harness.newActions());
  }

  /**
   * Guards against memory and work that grow with the number of recent requests instead of queued
   * ones.
   */
  @Test
  void dropsTimersOfCompletedRequests() throws ReflectiveOperationException {
    harness.start();
    for (int i = 0; i < 20_000; i++) {
      harness.request("a" + i, RoutingTestHarness.KEYED_WRITE);
      harness.outcome("a" + i, 0, "m1", AttemptStatus.OK, Role.PRIMARY);
    }
    int size = harness.router.state.timers.size();
    assertTrue(size < 1_000, size + " timers");
  }

  /** Guards against memory and work that grow with the replica sets that clients have named. */
  @Test
  void dropsReplicaSetsThatNoListNamesWithTheirLastRequest() {
    harness.start();
    for (int i = 0; i < 1_000; i++) {
      harness.requestFor("a" + i, 100 + i, RoutingTestHarness.MS);
      harness.requestFor("b" + i, 100 + i, 1_000 * RoutingTestHarness.MS);
    }
    assertEquals(1_001, harness.router.state.replicaSets.size());
    harness.updateEndpoints(RoutingTestHarness.endpoint("m4", 0, Availability.READY));
    harness.advanceTime(2_000 * RoutingTestHarness.MS);
    assertEquals(2_000, rejections());
    assertEquals(1, harness.router.state.replicaSets.size());
  }

  private long rejections() {
    return harness.newActions().stream().filter(action -> action.startsWith("reject ")).count();
  }

  /** A request may arrive before the list that names its replica set. */
  @Test
  void sendsQueuedRequestOnceAListNamesItsReplicaSet() {
    harness.start();
    harness.requestFor("a", 9, 1_000 * RoutingTestHarness.MS);
    harness.advanceTime(10 * RoutingTestHarness.MS);
    harness.updateEndpoints(new Endpoint("n1", "kind", "z1", 9, 1, 0, false, Availability.READY));
    harness.answerHealthCheck("n1", Role.REPLICA, harness.nowMicros);
    assertTrue(harness.newActions().stream().anyMatch(action -> action.startsWith("send a")));
  }
}

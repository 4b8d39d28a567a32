package shelffront.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import shelffront.routing.AttemptOutcome;
import shelffront.routing.AttemptStatus;
import shelffront.routing.Availability;
import shelffront.routing.Role;
import shelffront.routing.Router;

/**
 * Tests when an endpoint is ejected, put on probation, health-checked and readmitted, and when its
 * attempts are hedged.
 */
class EndpointHealthTest {

  private final RoutingTestHarness harness = new RoutingTestHarness();

  @Test
  void ejectsSilentEndpointAndHedgesItsReads() {
    harness.start();
    for (int i = 0; i < 12; i++) {
      harness.request("a" + i, RoutingTestHarness.EVENTUAL_READ);
    }
    List<String> sent = harness.newActions();
    for (String line : sent) {
      if (line.endsWith("m3")) {
        harness.outcome(line.split(" ")[1], 0, "m3", AttemptStatus.OK, Role.REPLICA);
      }
    }
    harness.advanceTime(390 * RoutingTestHarness.MS);
    List<String> actions = harness.newActions();
    assertTrue(
        actions.stream().anyMatch(action -> action.startsWith("send") && action.endsWith("m3")),
        actions.toString());
    assertTrue(
        actions.stream().anyMatch(action -> action.startsWith("cancel")), actions.toString());
    harness.request("b", RoutingTestHarness.EVENTUAL_READ);
    assertFalse(harness.newActions().contains("send b m2"));
  }

  @Test
  void toleratesFewRefusedConnectionsAndEjectsAfterFailedHealthChecks() {
    harness.start();
    harness.updateEndpoints(RoutingTestHarness.endpoint("m3", 0, Availability.DRAINING));
    for (int i = 0; i < 3; i++) {
      harness.request("a" + i, RoutingTestHarness.EVENTUAL_READ);
      harness.outcome("a" + i, 0, "m2", AttemptStatus.CONNECT_FAILED, Role.UNKNOWN);
    }
    assertEquals(3, harness.newSendsTo("m2"), "a healthy endpoint loses connections too");
    harness.request("b", RoutingTestHarness.EVENTUAL_READ);
    assertEquals(0, harness.newSendsTo("m2"), "ejected briefly after three failures");
    harness.answerHealthCheck("m2", Role.REPLICA, harness.nowMicros);
    harness.advanceTime(45 * RoutingTestHarness.MS);
    harness.request("c", RoutingTestHarness.EVENTUAL_READ);
    assertTrue(harness.newSendsTo("m2") > 0, "alive: only its connection table was full");
    for (int i = 0; i < 6; i++) {
      harness.router.onHealthCheckResult(
          harness.nowMicros, "m2", AttemptStatus.TIMEOUT, 250 * RoutingTestHarness.MS, null);
    }
    harness.newActions();
    harness.advanceTime(400 * RoutingTestHarness.MS);
    harness.request("d", RoutingTestHarness.EVENTUAL_READ);
    assertEquals(0, harness.newSendsTo("m2"), "ejected after six failed health checks in a row");
  }

  /**
   * Guards against idle connections that fill an endpoint's connection table while other gateways
   * need a connection.
   */
  @Test
  void closesIdleConnectionsWhileTheyAreScarce() {
    harness.start();
    harness.request("a", RoutingTestHarness.NON_IDEMPOTENT_WRITE);
    harness.outcome("a", 0, "m1", AttemptStatus.OK, Role.PRIMARY);
    assertFalse(
        harness.newActions().contains("closeIdle m1"),
        "idle connections are kept while none is refused");
    harness.request("b", RoutingTestHarness.NON_IDEMPOTENT_WRITE);
    for (int i = 0; i < 3; i++) {
      harness.outcome("b", i, "m1", AttemptStatus.CONNECT_FAILED, Role.UNKNOWN);
    }
    harness.advanceTime(45 * RoutingTestHarness.MS);
    harness.outcome("b", 3, "m1", AttemptStatus.OK, Role.PRIMARY);
    assertTrue(harness.newActions().contains("closeIdle m1"));
  }

  @Test
  void sendsWriteToEjectedPrimaryOnceAHealthCheckSucceeds() {
    harness.start();
    for (int i = 0; i < 6; i++) {
      harness.request("w" + i, RoutingTestHarness.NON_IDEMPOTENT_WRITE);
    }
    harness.advanceTime(600 * RoutingTestHarness.MS);
    harness.request("x", RoutingTestHarness.NON_IDEMPOTENT_WRITE);
    harness.newActions();
    harness.advanceTime(400 * RoutingTestHarness.MS);
    assertFalse(harness.newActions().contains("send x m1"), "m1 is silent");
    for (int i = 0; i < 6; i++) {
      harness.outcome("w" + i, 0, "m1", AttemptStatus.TIMEOUT, Role.UNKNOWN);
    }
    harness.advanceTime(2_500 * RoutingTestHarness.MS);
    harness.request("y", RoutingTestHarness.NON_IDEMPOTENT_WRITE);
    assertFalse(harness.newActions().contains("send y m1"), "m1 is still on probation");
    harness.answerHealthCheck("m1", Role.PRIMARY, harness.nowMicros);
    assertTrue(harness.newActions().contains("send y m1"), "the health check ended the probation");
  }

  /**
   * Guards against ejecting a healthy endpoint for an attempt whose connection was lost: the
   * attempts sent after it succeed quickly, so the endpoint is neither slow nor silent.
   */
  @Test
  void ignoresOvertakenAttemptsWhenJudgingEndpointHealth() {
    harness.start();
    for (int lost = 0; lost < 6; lost++) {
      harness.request("lost" + lost, RoutingTestHarness.NON_IDEMPOTENT_WRITE);
      for (int i = 0; i < 4; i++) {
        harness.advanceTime(40 * RoutingTestHarness.MS);
        harness.request("w" + lost + i, RoutingTestHarness.NON_IDEMPOTENT_WRITE);
        harness.outcome(
            "w" + lost + i, 0, "m1", AttemptStatus.OK, Role.PRIMARY, 5 * RoutingTestHarness.MS);
      }
      harness.newActions();
      harness.advanceTime(2_700 * RoutingTestHarness.MS);
      harness.outcome("lost" + lost, 0, "m1", AttemptStatus.TIMEOUT, Role.UNKNOWN);
    }
    harness.newActions();
    for (int i = 0; i < 5; i++) {
      harness.request("after" + i, RoutingTestHarness.NON_IDEMPOTENT_WRITE);
    }
    assertEquals(5, harness.newSendsTo("m1"));
  }

  @Test
  void doesNotTreatEndpointWithOnlyOvertakenAttemptsAsSilent() {
    harness.start();
    for (int i = 0; i < 120; i++) {
      harness.request("w" + i, RoutingTestHarness.NON_IDEMPOTENT_WRITE);
      harness.outcome("w" + i, 0, "m1", AttemptStatus.OK, Role.PRIMARY, 10 * RoutingTestHarness.MS);
    }
    harness.request("lost", RoutingTestHarness.NON_IDEMPOTENT_WRITE);
    harness.advanceTime(RoutingTestHarness.MS);
    harness.request("later", RoutingTestHarness.NON_IDEMPOTENT_WRITE);
    harness.outcome("later", 0, "m1", AttemptStatus.OK, Role.PRIMARY, 10 * RoutingTestHarness.MS);
    harness.advanceTime(500 * RoutingTestHarness.MS);
    harness.newActions();
    harness.request("next", RoutingTestHarness.NON_IDEMPOTENT_WRITE);
    assertTrue(harness.newActions().contains("send next m1"));
  }

  @Test
  void hedgesOvertakenRead() {
    harness.start();
    harness.updateEndpoints(RoutingTestHarness.endpoint("m3", 0, Availability.DRAINING));
    for (int i = 0; i < 120; i++) {
      harness.request("r" + i, RoutingTestHarness.EVENTUAL_READ);
      harness.outcome("r" + i, 0, "m2", AttemptStatus.OK, Role.REPLICA, 10 * RoutingTestHarness.MS);
    }
    harness.request("lost", RoutingTestHarness.EVENTUAL_READ);
    harness.advanceTime(RoutingTestHarness.MS);
    harness.request("later", RoutingTestHarness.EVENTUAL_READ);
    harness.outcome("later", 0, "m2", AttemptStatus.OK, Role.REPLICA, 10 * RoutingTestHarness.MS);
    harness.updateEndpoints(RoutingTestHarness.endpoint("m3", 0, Availability.READY));
    harness.answerHealthCheck("m3", Role.REPLICA, harness.nowMicros);
    harness.newActions();
    for (int i = 0; i < 30; i++) {
      harness.advanceTime(10 * RoutingTestHarness.MS);
      harness.request("s" + i, RoutingTestHarness.EVENTUAL_READ);
      harness.outcome("s" + i, 0, "m2", AttemptStatus.OK, Role.REPLICA, 10 * RoutingTestHarness.MS);
      harness.outcome("s" + i, 0, "m3", AttemptStatus.OK, Role.REPLICA, 10 * RoutingTestHarness.MS);
    }
    List<String> actions = harness.newActions();
    assertTrue(actions.contains("send lost m3"), actions.toString());
    assertTrue(actions.contains("cancel lost 0"), actions.toString());
  }

  /**
   * Only a health check can end the probation of a primary: reads go to replicas, and a
   * non-idempotent write is not sent to an endpoint on probation.
   */
  @Test
  void checksPrimaryOnProbationUntilItResponds() {
    harness.start();
    for (int i = 0; i < 6; i++) {
      harness.request("w" + i, RoutingTestHarness.NON_IDEMPOTENT_WRITE);
    }
    harness.advanceTime(600 * RoutingTestHarness.MS);
    harness.request("x", RoutingTestHarness.NON_IDEMPOTENT_WRITE);
    harness.advanceTime(2_500 * RoutingTestHarness.MS);
    for (int i = 0; i < 6; i++) {
      harness.outcome("w" + i, 0, "m1", AttemptStatus.TIMEOUT, Role.UNKNOWN);
    }
    harness.router.onHealthCheckResult(
        harness.nowMicros, "m1", AttemptStatus.TIMEOUT, 250 * RoutingTestHarness.MS, null);
    harness.answerHealthCheck("m2", Role.REPLICA, harness.nowMicros);
    harness.answerHealthCheck("m3", Role.REPLICA, harness.nowMicros);
    harness.advanceTime(2_500 * RoutingTestHarness.MS);
    long before = harness.healthChecksOf("m1");
    harness.request("y", RoutingTestHarness.NON_IDEMPOTENT_WRITE);
    harness.advanceTime(300 * RoutingTestHarness.MS);
    assertTrue(harness.healthChecksOf("m1") > before);
  }

  @Test
  void readmitsEndpointAtItsFirstSuccessfulHealthCheck() {
    harness.start();
    for (int i = 0; i < 8; i++) {
      harness.router.onHealthCheckResult(
          harness.nowMicros, "m1", AttemptStatus.TIMEOUT, 250 * RoutingTestHarness.MS, null);
    }
    harness.request("w", RoutingTestHarness.NON_IDEMPOTENT_WRITE);
    assertFalse(harness.newActions().contains("send w m1"), "its health checks fail");
    harness.advanceTime(200 * RoutingTestHarness.MS);
    harness.answerHealthCheck("m1", Role.PRIMARY, harness.nowMicros);
    assertTrue(harness.newActions().contains("send w m1"), "its health check succeeded");
  }

  @Test
  void retriesNonIdempotentWriteElsewhereAfterRefusedConnections() {
    harness.start();
    harness.request("w", RoutingTestHarness.NON_IDEMPOTENT_WRITE);
    for (int i = 0; i < 3; i++) {
      harness.outcome("w", i, "m1", AttemptStatus.CONNECT_FAILED, Role.UNKNOWN);
    }
    harness.advanceTime(30 * RoutingTestHarness.MS);
    harness.answerHealthCheck("m2", Role.PRIMARY, harness.nowMicros);
    assertEquals(
        List.of("send w m1", "send w m1", "send w m1", "send w m2"),
        harness.newActions().stream().filter(action -> action.startsWith("send")).toList());
  }

  @Test
  void lowersConcurrencyLimitBelowOneAfterReadsTimeOut() {
    harness.gatewayCount = 20;
    harness.start();
    harness.updateEndpoints(RoutingTestHarness.endpoint("m3", 0, Availability.DRAINING));
    for (int i = 0; i < 60; i++) {
      harness.request("a" + i, RoutingTestHarness.BOUNDED_READ);
      harness.answerHealthCheck("m2", Role.REPLICA, harness.nowMicros);
      harness.advanceTime(450 * RoutingTestHarness.MS);
      harness.outcome("a" + i, 0, "m2", AttemptStatus.TIMEOUT, Role.UNKNOWN);
    }
    assertTrue(
        harness.newSendsTo("m2") < 40,
        "an endpoint on which every read times out does not get every read");
  }

  /** Guards against closing idle connections that cannot be replaced in time. */
  @Test
  void keepsAndPrefersIdleConnectionsWhileNewOnesAreExpensive() {
    harness.start();
    harness.request("a", RoutingTestHarness.EVENTUAL_READ);
    String used = harness.newActions().get(0).substring("send a ".length());
    harness.outcome("a", 0, used, AttemptStatus.OK, Role.REPLICA);
    harness.request("w", RoutingTestHarness.KEYED_WRITE);
    harness.router.onAttemptOutcome(
        harness.nowMicros,
        new AttemptOutcome(
            "w",
            0,
            "m1",
            AttemptStatus.CONNECT_FAILED,
            false,
            250 * RoutingTestHarness.MS,
            Role.UNKNOWN,
            Router.UNKNOWN,
            null));
    for (int i = 0; i < 5; i++) {
      harness.request("b" + i, RoutingTestHarness.EVENTUAL_READ);
      harness.outcome("b" + i, 0, used, AttemptStatus.OK, Role.REPLICA);
      assertTrue(
          harness.newActions().contains("send b" + i + " " + used),
          "the replica with an idle connection");
    }
    harness.outcome("w", 1, "m1", AttemptStatus.OK, Role.PRIMARY);
    assertFalse(
        harness.newActions().stream().anyMatch(action -> action.startsWith("closeIdle")),
        "idle connections are kept");
  }

  /**
   * Guards against ejecting fast endpoints after a short pause: hosts that respond within a
   * millisecond were all ejected at the first pause, and 4,000 reads per second were lost.
   */
  @Test
  void toleratesShortPausesOfFastEndpoints() {
    harness.start();
    for (int i = 0; i < 600; i++) {
      harness.request("q" + i, RoutingTestHarness.EVENTUAL_READ);
      String endpointId =
          harness.newActions().stream()
              .filter(action -> action.startsWith("send"))
              .findFirst()
              .orElseThrow()
              .split(" ")[2];
      harness.nowMicros += RoutingTestHarness.MS;
      harness.outcome(
          "q" + i, 0, endpointId, AttemptStatus.OK, Role.REPLICA, RoutingTestHarness.MS);
    }
    harness.newActions();
    for (int i = 0; i < 12; i++) {
      harness.request("a" + i, RoutingTestHarness.EVENTUAL_READ);
    }
    assertEquals(
        12,
        harness.newActions().stream()
            .filter(action -> action.matches("send a[0-9]+ m[23]"))
            .count());
    harness.advanceTime(20 * RoutingTestHarness.MS);
    harness.request("b", RoutingTestHarness.EVENTUAL_READ);
    List<String> actions = harness.newActions();
    assertTrue(
        actions.stream().noneMatch(action -> action.startsWith("cancel")), actions.toString());
    assertTrue(
        actions.stream().anyMatch(action -> action.startsWith("send b m")), actions.toString());
    harness.advanceTime(40 * RoutingTestHarness.MS);
    assertTrue(
        harness.newActions().stream().anyMatch(action -> action.startsWith("cancel")),
        "a pause of 60 ms is silence");
  }
}

package shelffront.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import shelffront.routing.AttemptStatus;
import shelffront.routing.Availability;
import shelffront.routing.LagCheck;
import shelffront.routing.Role;

/**
 * Tests the combined selections of 100 gateways that know of each other only how many there are.
 */
class FleetEndpointSelectionTest {

  private static final int GATEWAYS = 100;
  private static final List<String> HOSTS = List.of("m1", "m2", "m3", "m4", "m5");

  private static RoutingTestHarness harness(int gatewayIndex, int gateways) {
    RoutingTestHarness harness = new RoutingTestHarness();
    harness.gatewayIndex = gatewayIndex;
    harness.gatewayCount = gateways;
    return harness.startWithoutReports(HOSTS.toArray(String[]::new));
  }

  private static void answerAllHealthChecks(RoutingTestHarness harness) {
    for (String host : HOSTS) {
      harness.answerHealthCheck(
          host, host.equals("m1") ? Role.PRIMARY : Role.REPLICA, harness.nowMicros);
    }
    harness.newActions();
  }

  /** Returns the endpoint to which a read is sent, which succeeds; empty if the read is queued. */
  private static String serveRead(RoutingTestHarness harness, String id) {
    harness.request(id, RoutingTestHarness.EVENTUAL_READ);
    List<String> sent =
        harness.newActions().stream().filter(action -> action.startsWith("send " + id)).toList();
    if (sent.isEmpty()) {
      return "";
    }
    String endpointId = sent.get(0).split(" ")[2];
    harness.advanceTime(50 * RoutingTestHarness.MS);
    harness.outcome(id, 0, endpointId, AttemptStatus.OK, Role.REPLICA);
    return endpointId;
  }

  @Test
  void sharesReplicasEvenlyAmongGateways() {
    Map<String, Integer> gatewayCountByEndpoint = new TreeMap<>();
    for (int gatewayIndex = 0; gatewayIndex < GATEWAYS; gatewayIndex++) {
      RoutingTestHarness harness = harness(gatewayIndex, GATEWAYS);
      answerAllHealthChecks(harness);
      Set<String> used = new HashSet<>();
      for (int i = 0; i < 30; i++) {
        harness.request("held" + i, RoutingTestHarness.EVENTUAL_READ);
        String first = harness.newActions().get(0).split(" ")[2];
        used.add(first);
        used.add(serveRead(harness, "r" + i));
        harness.outcome("held" + i, 0, first, AttemptStatus.OK, Role.REPLICA);
        harness.newActions();
      }
      assertEquals(2, used.size(), used.toString());
      used.forEach(endpointId -> gatewayCountByEndpoint.merge(endpointId, 1, Integer::sum));
    }
    assertEquals(4, gatewayCountByEndpoint.size(), gatewayCountByEndpoint.toString());
    gatewayCountByEndpoint.forEach(
        (endpointId, count) -> assertTrue(count == 50, gatewayCountByEndpoint.toString()));
  }

  @Test
  void usesAndChecksEveryReplicaInASmallFleet() {
    RoutingTestHarness harness = harness(0, 5);
    assertEquals(5, harness.healthChecks());
    answerAllHealthChecks(harness);
    Set<String> used = new HashSet<>();
    for (int i = 0; i < 8; i++) {
      harness.request("r" + i, RoutingTestHarness.EVENTUAL_READ);
      used.add(harness.newActions().get(0).split(" ")[2]);
    }
    assertEquals(Set.of("m2", "m3", "m4", "m5"), used);
  }

  @Test
  void dividesFirstHealthChecksAmongGateways() {
    Map<String, Integer> checksByEndpoint = new TreeMap<>();
    for (int gatewayIndex = 0; gatewayIndex < GATEWAYS; gatewayIndex++) {
      RoutingTestHarness harness = harness(gatewayIndex, GATEWAYS);
      assertEquals(
          0,
          harness.healthChecks(),
          "a simultaneous start of all gateways causes no health checks");
      harness.request("r", RoutingTestHarness.BOUNDED_READ);
      for (String host : HOSTS) {
        checksByEndpoint.merge(host, (int) harness.healthChecksOf(host), Integer::sum);
      }
    }
    checksByEndpoint.forEach((host, count) -> assertTrue(count <= 60, checksByEndpoint.toString()));
    assertTrue(
        checksByEndpoint.values().stream().mapToInt(Integer::intValue).sum() >= GATEWAYS,
        checksByEndpoint.toString());
  }

  /**
   * Guards against a subset that leaves a request without an endpoint: freshness, roles and health
   * take precedence over the subset.
   */
  @Test
  void usesOtherReplicasWherePreferredOnesMayNotServe() {
    for (int gatewayIndex = 0; gatewayIndex < 20; gatewayIndex++) {
      RoutingTestHarness harness = harness(gatewayIndex, GATEWAYS);
      answerAllHealthChecks(harness);
      Set<String> preferred = new HashSet<>();
      for (int i = 0; i < 30; i++) {
        preferred.add(serveRead(harness, "r" + i));
      }
      for (String endpointId : preferred) {
        harness.updateEndpoints(RoutingTestHarness.endpoint(endpointId, 0, Availability.DRAINING));
      }
      String other = serveRead(harness, "after");
      assertFalse(other.isEmpty() || preferred.contains(other), other);
    }
  }

  @Test
  void waitsBeforeRecheckingReplicaFarBehind() {
    RoutingTestHarness harness = new RoutingTestHarness();
    harness.lagCheck = LagCheck.REJECT;
    harness.start();
    harness.advanceTime(200 * RoutingTestHarness.MS);
    harness.answerHealthCheck(
        "m2", Role.REPLICA, harness.nowMicros - 8_000 * RoutingTestHarness.MS);
    harness.updateEndpoints(RoutingTestHarness.endpoint("m3", 0, Availability.DRAINING));
    long before = harness.healthChecksOf("m2");
    for (int i = 0; i < 10; i++) {
      harness.request("r" + i, RoutingTestHarness.SESSION_READ, 50 * RoutingTestHarness.MS);
      harness.advanceTime(60 * RoutingTestHarness.MS);
      harness.outcome("r" + i, 0, "m1", AttemptStatus.OK, Role.PRIMARY);
      harness.advanceTime(90 * RoutingTestHarness.MS);
    }
    assertTrue(
        harness.healthChecksOf("m2") - before <= 1,
        harness.healthChecksOf("m2") - before + " health checks in 1.5 s");
  }
}

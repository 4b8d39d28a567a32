package shelffront.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import shelffront.routing.AttemptStatus;
import shelffront.routing.Availability;
import shelffront.routing.DeduplicationScope;
import shelffront.routing.Endpoint;
import shelffront.routing.Request;
import shelffront.routing.Role;

/** Tests the five safety rules, each on both sides of its limit. */
class SafetyRulesTest {

  private final RoutingTestHarness harness = new RoutingTestHarness();

  @Test
  void endsEveryRequestOnceByItsDeadline() {
    harness.start();
    harness.request("a", RoutingTestHarness.NON_IDEMPOTENT_WRITE);
    harness.advanceTime(2_990 * RoutingTestHarness.MS);
    assertEquals(List.of("send a m1"), harness.newActions());
    harness.advanceTime(30 * RoutingTestHarness.MS);
    assertEquals(List.of("fail a"), harness.newActions());
    harness.outcome("a", 0, "m1", AttemptStatus.TIMEOUT, Role.UNKNOWN);
    harness.advanceTime(5_000 * RoutingTestHarness.MS);
    assertEquals(List.of(), harness.newActions());
  }

  @Test
  void forgetsEndpointThatMovesToAnotherReplicaSet() {
    harness.start();
    // The known position of m2 refers to the log of the first set, not to that of the second.
    harness.updateEndpoints(
        new Endpoint("m2", "kind", "z1", 2, 1, 0, false, Availability.READY),
        new Endpoint("m1", "kind", "z1", 2, 1, 0, false, Availability.READY));
    harness.router.onRequest(
        harness.nowMicros,
        new Request(
            "a",
            RoutingTestHarness.SESSION_READ,
            "s",
            2,
            1_500 * RoutingTestHarness.MS,
            harness.nowMicros - 10_000 * RoutingTestHarness.MS,
            false));
    assertEquals(
        List.of(), harness.newActions(), "neither endpoint is known to have applied the position");
    harness.request("b", RoutingTestHarness.STRONG_READ);
    assertEquals(List.of(), harness.newActions(), "the first set no longer has a known primary");
    harness.answerHealthCheck(
        "m2", Role.REPLICA, harness.nowMicros - 5_000 * RoutingTestHarness.MS);
    assertEquals(List.of("send a m2"), harness.newActions());
  }

  @Test
  void rejectsWriteWithoutAnyEndpointInTime() {
    harness.startWithoutReports();
    harness.request("a", RoutingTestHarness.NON_IDEMPOTENT_WRITE);
    harness.advanceTime(3_000 * RoutingTestHarness.MS);
    assertEquals(List.of("reject a"), harness.newActions());
  }

  @Test
  void rejectsQueuedReadWhenItCanNoLongerBeServedInTime() {
    harness.startWithoutReports("m1", "m2");
    harness.newActions();
    harness.request("a", RoutingTestHarness.BOUNDED_READ);
    harness.advanceTime(500 * RoutingTestHarness.MS);
    assertEquals(List.of("reject a"), harness.newActions());
  }

  @Test
  void letsOutstandingAttemptRespondAfterTheObjective() {
    harness.hedgingAllowed = false;
    harness.start();
    harness.request("a", RoutingTestHarness.BOUNDED_READ);
    harness.newActions();
    harness.advanceTime(1_400 * RoutingTestHarness.MS);
    assertEquals(
        List.of(),
        harness.newActions(),
        "a rejection would only make the client repeat the same work");
    harness.advanceTime(200 * RoutingTestHarness.MS);
    assertTrue(harness.newActions().contains("reject a"));
  }

  @Test
  void sendsNothingAfterTheClientDisconnected() {
    harness.startWithoutReports("m1", "m2");
    harness.request("a", RoutingTestHarness.BOUNDED_READ);
    harness.router.onClientDisconnected(harness.nowMicros, "a");
    harness.answerHealthCheck("m1", Role.PRIMARY, harness.nowMicros);
    harness.answerHealthCheck("m2", Role.REPLICA, harness.nowMicros);
    harness.advanceTime(2_000 * RoutingTestHarness.MS);
    assertEquals(List.of(), harness.newActions());
  }

  @Test
  void retriesNonIdempotentWriteOnlyIfProvedNotExecuted() {
    harness.start();
    harness.request("a", RoutingTestHarness.NON_IDEMPOTENT_WRITE);
    harness.outcome("a", 0, "m1", AttemptStatus.REPLICA_UNSUITABLE, Role.REPLICA);
    harness.answerHealthCheck("m2", Role.PRIMARY, harness.nowMicros);
    assertTrue(harness.newActions().contains("send a m2"));
    harness.outcome("a", 1, "m2", AttemptStatus.RESET, Role.UNKNOWN);
    assertEquals(List.of("fail a"), harness.newActions());
  }

  @Test
  void retriesKeyedWriteOnlyInsideItsDeduplicationWindow() {
    harness.start();
    harness.request("a", RoutingTestHarness.KEYED_WRITE);
    harness.outcome("a", 0, "m1", AttemptStatus.ERROR, Role.UNKNOWN);
    assertEquals(List.of("send a m1", "send a m1"), harness.newActions());
    harness.advanceTime(2_999 * RoutingTestHarness.MS);
    harness.outcome("a", 1, "m1", AttemptStatus.ERROR, Role.UNKNOWN);
    assertEquals(List.of("fail a"), harness.newActions());
  }

  @Test
  void rejectsKeyedWriteOnlyIfAllHostsDiscardRepeats() {
    harness.deduplicationScope = DeduplicationScope.ALL;
    harness.maxAttempts = 1;
    harness.start();
    harness.request("a", RoutingTestHarness.KEYED_WRITE);
    harness.outcome("a", 0, "m1", AttemptStatus.ERROR, Role.UNKNOWN);
    assertEquals(List.of("send a m1", "reject a"), harness.newActions());
  }

  @Test
  void rejectsReadAfterTheLastAttempt() {
    harness.maxAttempts = 2;
    harness.start();
    harness.request("a", RoutingTestHarness.EVENTUAL_READ);
    harness.outcome("a", 0, "m2", AttemptStatus.ERROR, Role.REPLICA);
    harness.outcome("a", 1, "m3", AttemptStatus.ERROR, Role.REPLICA);
    List<String> actions = harness.newActions();
    assertEquals(3, actions.size());
    assertEquals("reject a", actions.get(2));
  }

  @Test
  void keepsOneAttemptOutstandingWhereHedgingIsNotAllowed() {
    harness.hedgingAllowed = false;
    harness.start();
    harness.request("a", RoutingTestHarness.EVENTUAL_READ);
    harness.advanceTime(390 * RoutingTestHarness.MS);
    assertEquals(
        1, harness.newActions().stream().filter(action -> action.startsWith("send")).count());
  }

  @Test
  void sendsNothingToDrainingOrRemovedEndpoints() {
    for (Availability state : List.of(Availability.DRAINING, Availability.REMOVED)) {
      RoutingTestHarness gateway = new RoutingTestHarness().start();
      gateway.updateEndpoints(
          RoutingTestHarness.endpoint("m2", 0, state), RoutingTestHarness.endpoint("m1", 0, state));
      for (int i = 0; i < 20; i++) {
        gateway.request("r" + i, RoutingTestHarness.EVENTUAL_READ);
        gateway.request("w" + i, RoutingTestHarness.NON_IDEMPOTENT_WRITE);
      }
      gateway.advanceTime(3_000 * RoutingTestHarness.MS);
      assertFalse(
          gateway.newActions().stream()
              .anyMatch(action -> action.startsWith("send") && !action.endsWith("m3")));
    }
  }

  /**
   * Counts the gateways, all with the same recent traffic, that send a request to an endpoint which
   * has restarted, is warming up and is the only one left.
   */
  private static long sentToWarmingEndpoint(int gateways, String endpointId, int classIndex) {
    long sent = 0;
    for (int i = 0; i < gateways; i++) {
      RoutingTestHarness gateway = new RoutingTestHarness();
      gateway.gatewayCount = gateways;
      gateway.start();
      for (int round = 0; round < 6; round++) {
        gateway.request("w" + i + "-" + round, classIndex);
        String line =
            gateway.newActions().stream()
                .filter(action -> action.startsWith("send"))
                .findFirst()
                .orElseThrow();
        gateway.advanceTime(1_000 * RoutingTestHarness.MS - 1);
        gateway.outcome(
            "w" + i + "-" + round, 0, line.split(" ")[2], AttemptStatus.OK, Role.UNKNOWN);
        gateway.newActions();
      }
      for (String id : List.of("m1", "m2", "m3")) {
        gateway.updateEndpoints(
            RoutingTestHarness.endpoint(
                id,
                id.equals(endpointId) ? gateway.nowMicros : 0,
                id.equals(endpointId) ? Availability.READY : Availability.DRAINING));
      }
      gateway.newActions();
      gateway.request("c" + i, classIndex);
      gateway.advanceTime(300 * RoutingTestHarness.MS);
      sent += gateway.newActions().contains("send c" + i + " " + endpointId) ? 1 : 0;
    }
    return sent;
  }

  @Test
  void limitsFleetsRequestsToWarmingReplica() {
    // A warm endpoint gets 3 of 6 requests in 6 s from each of the 200 gateways, which is 150 in an
    // overload window of 1.5 s. The initial capacity of the warming endpoint is a quarter of that,
    // and 2.5 times its capacity, 94 requests, overloads it.
    long sent = sentToWarmingEndpoint(200, "m2", RoutingTestHarness.EVENTUAL_READ);
    assertTrue(sent > 5 && sent < 94, sent + " sends");
  }

  @Test
  void limitsFleetsRequestsToWarmingPrimary() {
    long sent = sentToWarmingEndpoint(200, "m1", RoutingTestHarness.KEYED_WRITE);
    assertTrue(sent > 5 && sent < 94, sent + " sends");
  }

  @Test
  void sendsReadOnlyToAReplicaKnownToHaveItsPosition() {
    harness.start();
    harness.advanceTime(20 * RoutingTestHarness.MS);
    harness.answerHealthCheck("m2", Role.REPLICA, harness.nowMicros - 10 * RoutingTestHarness.MS);
    harness.request("a", RoutingTestHarness.SESSION_READ, 10 * RoutingTestHarness.MS);
    assertEquals(List.of("send a m2"), harness.newActions(), "exactly at the required position");
    harness.request("b", RoutingTestHarness.SESSION_READ, 10 * RoutingTestHarness.MS - 1);
    assertEquals(List.of(), harness.newActions(), "one microsecond behind the required position");
  }

  /**
   * Guards against a search for the primary that sends the same write to a warming endpoint in
   * every round.
   */
  @Test
  void triesWarmingEndpointOnceInASearchForThePrimary() {
    harness.start();
    for (String id : List.of("m1", "m2", "m3")) {
      harness.updateEndpoints(
          RoutingTestHarness.endpoint(id, harness.nowMicros, Availability.READY));
      harness.answerHealthCheck(id, Role.REPLICA, harness.nowMicros);
    }
    int tries = 0;
    for (int i = 0; i < 20; i++) {
      String id = "w" + i;
      List<String> all = new ArrayList<>();
      harness.request(id, RoutingTestHarness.KEYED_WRITE);
      for (int round = 0; round < 8; round++) {
        for (String line : harness.newActions()) {
          if (line.startsWith("send " + id + " ")) {
            all.add(line);
            harness.outcome(
                id,
                all.size() - 1,
                line.split(" ")[2],
                AttemptStatus.REPLICA_UNSUITABLE,
                Role.REPLICA);
          }
        }
        harness.advanceTime(110 * RoutingTestHarness.MS);
      }
      assertEquals(all.stream().distinct().toList(), all);
      tries += all.size();
      harness.router.onClientDisconnected(harness.nowMicros, id);
    }
    assertTrue(tries > 0, "no warming endpoint was tried");
  }

  @Test
  void usesRemovedButNotDrainingEndpointWhereRemovalIsAdvisory() {
    harness.removalIsAdvisory = true;
    harness.start();
    harness.updateEndpoints(
        RoutingTestHarness.endpoint("m3", 0, Availability.DRAINING),
        RoutingTestHarness.endpoint("m2", 0, Availability.REMOVED));
    harness.request("a", RoutingTestHarness.EVENTUAL_READ);
    assertEquals(List.of("send a m2"), harness.newActions());
    harness.updateEndpoints(RoutingTestHarness.endpoint("m3", 0, Availability.REMOVED));
    harness.outcome("a", 0, "m2", AttemptStatus.CONNECT_FAILED, Role.UNKNOWN);
    harness.advanceTime(300 * RoutingTestHarness.MS);
    assertFalse(harness.newActions().stream().anyMatch(action -> action.endsWith("m3")));
  }
}

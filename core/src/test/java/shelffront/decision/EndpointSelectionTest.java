package shelffront.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import shelffront.routing.AttemptStatus;
import shelffront.routing.LagCheck;
import shelffront.routing.Role;

/** Tests which endpoint a request is sent to while all endpoints are healthy. */
class EndpointSelectionTest {

  private final RoutingTestHarness harness = new RoutingTestHarness();

  @Test
  void sendsWritesToThePrimaryLastReported() {
    harness.start();
    harness.request("a", RoutingTestHarness.NON_IDEMPOTENT_WRITE);
    assertEquals(List.of("send a m1"), harness.newActions());
    harness.answerHealthCheck("m2", Role.PRIMARY, harness.nowMicros);
    harness.request("b", RoutingTestHarness.NON_IDEMPOTENT_WRITE);
    assertEquals(List.of("send b m2"), harness.newActions());
  }

  @Test
  void ignoresAnOlderReportOfThePrimary() {
    harness.start();
    harness.advanceTime(100 * RoutingTestHarness.MS);
    harness.answerHealthCheck("m2", Role.PRIMARY, harness.nowMicros);
    harness.answerHealthCheck("m1", Role.PRIMARY, harness.nowMicros - 50 * RoutingTestHarness.MS);
    harness.request("a", RoutingTestHarness.NON_IDEMPOTENT_WRITE);
    assertTrue(harness.newActions().contains("send a m2"));
  }

  @Test
  void searchesForThePrimaryInOrderOfIdsAndPausesAfterARound() {
    harness.startWithoutReports("m1", "m2", "m3");
    harness.newActions();
    harness.request("a", RoutingTestHarness.KEYED_WRITE);
    harness.outcome("a", 0, "m1", AttemptStatus.REPLICA_UNSUITABLE, Role.REPLICA);
    harness.outcome("a", 1, "m2", AttemptStatus.REPLICA_UNSUITABLE, Role.REPLICA);
    harness.outcome("a", 2, "m3", AttemptStatus.REPLICA_UNSUITABLE, Role.REPLICA);
    assertEquals(List.of("send a m1", "send a m2", "send a m3"), harness.newActions());
    harness.advanceTime(90 * RoutingTestHarness.MS);
    assertEquals(List.of(), harness.newActions());
    harness.advanceTime(30 * RoutingTestHarness.MS);
    assertEquals(List.of("send a m1"), harness.newActions());
  }

  @Test
  void sendsSessionReadToAReplicaThatCoversItsWrite() {
    harness.start();
    harness.advanceTime(20 * RoutingTestHarness.MS);
    harness.answerHealthCheck("m3", Role.REPLICA, harness.nowMicros);
    harness.request("a", RoutingTestHarness.SESSION_READ, 10 * RoutingTestHarness.MS);
    assertEquals(List.of("send a m3"), harness.newActions());
  }

  @Test
  void queuesSessionReadBrieflyAndThenSendsItToThePrimary() {
    harness.start();
    harness.advanceTime(20 * RoutingTestHarness.MS);
    harness.request("a", RoutingTestHarness.SESSION_READ, 10 * RoutingTestHarness.MS);
    harness.advanceTime(40 * RoutingTestHarness.MS);
    assertEquals(List.of(), harness.newActions());
    harness.advanceTime(20 * RoutingTestHarness.MS);
    assertEquals(List.of("send a m1"), harness.newActions());
  }

  @Test
  void sendsQueuedReadWhenAPositionIsReported() {
    harness.start();
    harness.advanceTime(20 * RoutingTestHarness.MS);
    harness.request("a", RoutingTestHarness.SESSION_READ, 10 * RoutingTestHarness.MS);
    harness.advanceTime(10 * RoutingTestHarness.MS);
    harness.answerHealthCheck("m2", Role.REPLICA, harness.nowMicros);
    assertEquals(List.of("send a m2"), harness.newActions());
  }

  @Test
  void sendsReadOfASessionWithoutWritesToAnyReplica() {
    harness.start();
    harness.advanceTime(10_000 * RoutingTestHarness.MS);
    harness.newActions();
    harness.request("a", RoutingTestHarness.SESSION_READ, 0);
    assertTrue(harness.newActions().get(0).matches("send a m[23]"));
  }

  @Test
  void remembersPositionOfASessionsWrite() {
    harness.clientsCarryPosition = false;
    harness.start();
    harness.advanceTime(5 * RoutingTestHarness.MS);
    harness.request("w", RoutingTestHarness.NON_IDEMPOTENT_WRITE);
    harness.outcome("w", 0, "m1", AttemptStatus.OK, Role.PRIMARY);
    harness.request("r", RoutingTestHarness.SESSION_READ, 0);
    assertEquals(List.of("send w m1"), harness.newActions());
    harness.advanceTime(5 * RoutingTestHarness.MS);
    harness.answerHealthCheck("m2", Role.REPLICA, harness.nowMicros);
    assertEquals(List.of("send r m2"), harness.newActions());
  }

  @Test
  void avoidsReplicasTooFarBehindForBoundedReads() {
    harness.start();
    harness.advanceTime(900 * RoutingTestHarness.MS);
    harness.answerHealthCheck("m3", Role.REPLICA, harness.nowMicros - 100 * RoutingTestHarness.MS);
    harness.newActions();
    for (String id : List.of("a", "b", "c")) {
      harness.request(id, RoutingTestHarness.BOUNDED_READ);
    }
    assertEquals(List.of("send a m3", "send b m3", "send c m3"), harness.newActions());
  }

  @Test
  void sendsEventualReadsWithoutCheckingPositions() {
    harness.start();
    harness.advanceTime(10_000 * RoutingTestHarness.MS);
    harness.newActions();
    harness.request("a", RoutingTestHarness.EVENTUAL_READ);
    assertTrue(harness.newActions().get(0).matches("send a m[23]"));
  }

  @Test
  void sendsStrongReadsToThePrimary() {
    harness.start();
    harness.request("a", RoutingTestHarness.STRONG_READ);
    assertEquals(List.of("send a m1"), harness.newActions());
  }

  @Test
  void keepsPositionsFromMovingBackOrAheadOfTheClock() {
    harness.start();
    harness.advanceTime(900 * RoutingTestHarness.MS);
    harness.answerHealthCheck("m2", Role.REPLICA, harness.nowMicros);
    harness.answerHealthCheck(
        "m2", Role.REPLICA, harness.nowMicros - 5_000 * RoutingTestHarness.MS);
    harness.answerHealthCheck(
        "m3", Role.REPLICA, harness.nowMicros + 5_000 * RoutingTestHarness.MS);
    harness.newActions();
    harness.request("a", RoutingTestHarness.BOUNDED_READ);
    harness.request("b", RoutingTestHarness.BOUNDED_READ);
    assertEquals(List.of("send a m2", "send b m2"), harness.newActions());
  }

  @Test
  void treatsReplicasWithoutReportsAsLaggingAndChecksEachOnce() {
    harness.startWithoutReports("m1", "m2");
    assertEquals(List.of("checkHealth m1", "checkHealth m2"), harness.actions.lines);
    harness.newActions();
    harness.request("a", RoutingTestHarness.BOUNDED_READ);
    assertEquals(List.of(), harness.newActions());
  }

  @Test
  void trustsLagCheckingReplicaUntilItRejectsARead() {
    harness.lagCheck = LagCheck.REJECT;
    harness.start();
    harness.advanceTime(150 * RoutingTestHarness.MS);
    harness.newActions();
    harness.request("a", RoutingTestHarness.SESSION_READ, 20 * RoutingTestHarness.MS);
    String first = harness.newActions().get(0);
    assertTrue(first.matches("send a m[23]"), first);
    harness.outcome("a", 0, first.substring(7), AttemptStatus.REPLICA_UNSUITABLE, Role.REPLICA);
    String second = harness.newActions().get(0);
    assertFalse(second.equals(first), "must not go to the endpoint that just rejected it");
  }
}

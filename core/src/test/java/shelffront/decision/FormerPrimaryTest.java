package shelffront.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static shelffront.decision.RoutingTestHarness.MS;
import static shelffront.decision.RoutingTestHarness.NON_IDEMPOTENT_WRITE;
import static shelffront.decision.RoutingTestHarness.STRONG_READ;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import shelffront.routing.AttemptOutcome;
import shelffront.routing.AttemptStatus;
import shelffront.routing.Availability;
import shelffront.routing.Endpoint;
import shelffront.routing.Role;
import shelffront.routing.RoleReport;
import shelffront.routing.Router;

/** Tests a primary, listed as that from the start, which drains, ends and returns. */
class FormerPrimaryTest {

  private static final Endpoint LISTED_PRIMARY =
      new Endpoint("m2", "kind", "z1", 1, 1, 0, true, Availability.READY);

  private final RoutingTestHarness harness = new RoutingTestHarness();

  @BeforeEach
  void start() {
    harness.startWithoutReports();
    list(Availability.READY);
    harness.updateEndpoints(RoutingTestHarness.endpoint("m1", 0, Availability.READY));
    harness.newActions();
  }

  private void list(Availability availability) {
    harness.updateEndpoints(LISTED_PRIMARY.withAvailability(availability));
  }

  private void drainAndReturn() {
    list(Availability.DRAINING);
    harness.advanceTime(600 * MS);
    list(Availability.REMOVED);
    harness.advanceTime(2500 * MS);
    list(Availability.READY);
  }

  /** Guards against reads from a host that told while it drained that it is a replica. */
  @Test
  void sendsNoReadToFormerPrimaryThatReturns() {
    harness.request("held", NON_IDEMPOTENT_WRITE);
    list(Availability.DRAINING);
    harness.advanceTime(600 * MS);
    harness.outcome("held", 0, "m2", AttemptStatus.ERROR, Role.REPLICA);
    list(Availability.REMOVED);
    harness.advanceTime(2500 * MS);
    list(Availability.READY);
    harness.newActions();
    harness.request("a", STRONG_READ);
    harness.advanceTime(100 * MS);
    assertEquals(List.of(), harness.newActions());
  }

  /** Guards against the same if the response arrives only after the host is listed anew. */
  @Test
  void sendsNoReadToFormerPrimaryWhoseResponseArrivesAfterItsReturn() {
    harness.request("held", NON_IDEMPOTENT_WRITE);
    drainAndReturn();
    harness.outcome("held", 0, "m2", AttemptStatus.ERROR, Role.REPLICA);
    harness.newActions();
    harness.request("a", STRONG_READ);
    harness.advanceTime(100 * MS);
    assertEquals(List.of(), harness.newActions());
  }

  /** Guards against a primary that returns as the primary and is not used at once. */
  @Test
  void usesPrimaryThatReturnsAtOnceAndAsksForItsRole() {
    harness.answerHealthCheck("m2", Role.PRIMARY, harness.nowMicros);
    long checks = harness.healthChecksOf("m2");
    drainAndReturn();
    assertEquals(checks + 1, harness.healthChecksOf("m2"));
    harness.newActions();
    harness.request("w", NON_IDEMPOTENT_WRITE);
    assertEquals(List.of("send w m2"), harness.newActions(), "a replica rejects a write");
    harness.request("a", STRONG_READ);
    assertEquals(List.of(), harness.newActions(), "it may have handed over its role unseen");
    harness.answerHealthCheck("m2", Role.PRIMARY, harness.nowMicros);
    assertEquals(List.of("send a m2"), harness.newActions());
  }

  /** Guards against a primary that returns, cannot be asked for its role and is not used. */
  @Test
  void usesPrimaryThatReturnsAndCannotBeAsked() {
    RoutingTestHarness silent = new RoutingTestHarness();
    silent.healthChecksAllowed = false;
    silent.startWithoutReports();
    silent.updateEndpoints(LISTED_PRIMARY);
    silent.updateEndpoints(LISTED_PRIMARY.withAvailability(Availability.DRAINING));
    silent.updateEndpoints(LISTED_PRIMARY);
    silent.request("a", STRONG_READ);
    assertEquals("send a m2", silent.newActions().get(0));
  }

  /** Guards against a proof of a host for another one that has joined with its id. */
  @Test
  void takesNoProofFromResponseOfFormerEntry() {
    harness.answerHealthCheck("m2", Role.PRIMARY, harness.nowMicros);
    harness.request("held", NON_IDEMPOTENT_WRITE);
    drainAndReturn();
    harness.router.onAttemptOutcome(
        harness.nowMicros,
        new AttemptOutcome(
            "held",
            0,
            "m2",
            AttemptStatus.OK,
            true,
            MS,
            Role.PRIMARY,
            harness.nowMicros + MS,
            null));
    harness.newActions();
    harness.request("a", STRONG_READ);
    assertEquals(List.of(), harness.newActions());
  }

  /** Guards against trust in the list by a router that other routers precede. */
  @Test
  void asksListedPrimaryForItsRoleIfReportsWereMissed() {
    harness.router.onRoleReportsMissed(harness.nowMicros);
    harness.request("w", NON_IDEMPOTENT_WRITE);
    assertEquals(List.of("send w m2"), harness.newActions(), "a replica rejects a write");
    harness.answerHealthCheck("m2", Role.UNKNOWN, Router.UNKNOWN);
    harness.advanceTime(200 * MS);
    long checks = harness.healthChecksOf("m2");
    harness.request("a", STRONG_READ);
    assertEquals(List.of(), harness.newActions());
    assertTrue(harness.healthChecksOf("m2") > checks, "the read waits for the role");
    harness.answerHealthCheck("m2", Role.PRIMARY, harness.nowMicros);
    assertEquals(List.of("send a m2"), harness.newActions());
  }

  /** Guards against reads from a host that told another router of the tenant its role. */
  @Test
  void sendsNoReadToHostThatToldPredecessorThatItIsReplica() {
    harness.answerHealthCheck("m2", Role.PRIMARY, harness.nowMicros);
    harness.advanceTime(10 * MS);
    harness.router.onReplicaReport(
        harness.nowMicros,
        "m1",
        new RoleReport(Role.PRIMARY, harness.nowMicros, harness.nowMicros));
    harness.newActions();
    harness.request("a", STRONG_READ);
    assertEquals(List.of("send a m2"), harness.newActions(), "m1 may be another host");
    harness.router.onReplicaReport(
        harness.nowMicros,
        "m2",
        new RoleReport(Role.REPLICA, harness.nowMicros, harness.nowMicros));
    harness.request("b", STRONG_READ);
    assertEquals(List.of(), harness.newActions());
  }

  /** Guards against a response that states no role but shows one by its status. */
  @Test
  void takesRoleFromStatusOfResponse() {
    harness.answerHealthCheck("m2", Role.PRIMARY, harness.nowMicros);
    harness.request("w", NON_IDEMPOTENT_WRITE);
    harness.outcome("w", 0, "m2", AttemptStatus.REPLICA_UNSUITABLE, Role.UNKNOWN);
    harness.advanceTime(150 * MS);
    assertEquals(List.of("send w m2", "send w m1"), harness.newActions());
    harness.outcome("w", 1, "m1", AttemptStatus.OK, Role.UNKNOWN);
    harness.request("a", STRONG_READ);
    assertEquals(List.of("send a m1"), harness.newActions());
  }
}

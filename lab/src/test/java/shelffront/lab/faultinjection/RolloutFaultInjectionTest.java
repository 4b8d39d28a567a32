package shelffront.lab.faultinjection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs several gateway processes with faults between them while the stage of a subject changes, and
 * checks their histories.
 */
class RolloutFaultInjectionTest {

  private static final long LEASE_MS = 1_200;

  @TempDir private Path directory;

  @Test
  void keepsStagesAdjacentWhileLeadersAndGatewaysFail() throws Exception {
    try (FaultInjectionHarness harness = new FaultInjectionHarness(directory)) {
      for (int i = 0; i < 5; i++) {
        harness.add(LEASE_MS);
      }
      harness.awaitStage("one");
      harness.await("there is a rollout leader", () -> harness.leader() != null);
      FaultInjectionHarness.GatewayProcess leader = harness.leader();
      List<FaultInjectionHarness.GatewayProcess> others =
          harness.gateways().stream().filter(gateway -> gateway != leader).toList();

      // One gateway is cut off, one is suspended, and the leader is killed during the stage change.
      others.get(0).proxy().cut(true, true);
      others.get(1).signal("STOP");
      assertEquals(200, others.get(2).requestStage("four"));
      harness.await("the leader has started the stage change", () -> harness.moves() > 0);
      leader.kill();
      FaultInjectionHarness.GatewayProcess connected = others.get(2);
      harness.await(
          "the remaining gateways reach the target stage",
          () ->
              connected.subjectStatus() != null
                  && connected.subjectStatus().path("inForceHere").asText().equals("four"));
      assertEquals("four", others.get(3).subjectStatus().path("target").asText());
      others.get(1).signal("CONT");
      others.get(0).proxy().heal();
      leader.start();
      harness.awaitStage("four");

      // The stage returns to the first while the store and one gateway restart.
      assertEquals(200, connected.requestStage("one"));
      harness.restartStore();
      others.get(3).terminate();
      others.get(3).start();
      others.get(0).proxy().slow(40, 200);
      harness.awaitStage("one");

      RolloutHistoryChecker histories = harness.histories();
      assertTrue(histories.violations().isEmpty(), () -> String.join("\n", histories.violations()));
      assertTrue(histories.moves() >= 6, "recorded stage changes: " + histories.moves());
      assertEquals(7, histories.gatewayCount(), "five processes and two restarted ones");
      assertTrue(
          histories.leaderCount() >= 2, "the first leader was killed during the stage change");
    }
  }

  @Test
  void fallsBackToSafeStageWhileStoreFails() throws Exception {
    try (FaultInjectionHarness harness = new FaultInjectionHarness(directory)) {
      FaultInjectionHarness.GatewayProcess one = harness.add(LEASE_MS);
      FaultInjectionHarness.GatewayProcess two = harness.add(LEASE_MS);
      harness.awaitStage("one");
      assertEquals(200, one.requestStage("two"));
      harness.awaitStage("two");
      harness.injectStoreFault("leader=no");
      harness.await(
          "both gateways fall back to the safe stage",
          () ->
              one.hasLogged("rollout drill: safe stage in force")
                  && two.hasLogged("rollout drill: safe stage in force"));
      assertEquals(
          503, one.requestStage("three"), "the request is rejected while the store has no leader");
      harness.injectStoreFault("garble");
      harness.await("the corrupted response is logged", () -> one.hasLogged("engine-garbled"));
      harness.injectStoreFault("");
      harness.awaitStage("two");
      assertEquals(422, one.requestStage("nine"));
      assertEquals(200, two.requestStage("three"));
      harness.awaitStage("three");
      assertTrue(harness.histories().violations().isEmpty());
    }
  }

  /**
   * Shows that the checker detects a violation: a gateway that is cut off keeps the first stage in
   * force for 100 times the lease of the others.
   */
  @Test
  void detectsGatewayThatTrustsItsLeaseTooLong() throws Exception {
    try (FaultInjectionHarness harness = new FaultInjectionHarness(directory)) {
      FaultInjectionHarness.GatewayProcess first = harness.add(LEASE_MS);
      harness.add(LEASE_MS);
      harness.awaitStage("one");
      harness.await("there is a rollout leader", () -> harness.leader() != null);
      FaultInjectionHarness.GatewayProcess longLease = harness.add(LEASE_MS * 100);
      harness.awaitStage("one");
      longLease.proxy().cut(true, true);
      assertEquals(200, first.requestStage("four"));
      harness.await(
          "the other gateways do not wait for the one that is cut off",
          () -> first.subjectStatus().path("inForceHere").asText().equals("four"));
      assertFalse(
          harness.histories().violations().isEmpty(),
          "one gateway may act in stage one while the other acts in stage four");
    }
  }
}

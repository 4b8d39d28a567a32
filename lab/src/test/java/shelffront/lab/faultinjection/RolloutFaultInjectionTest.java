package shelffront.lab.faultinjection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Several gateways as processes, with faults between them, moving one subject; their histories are
 * held together.
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
      harness.await("there is an owner", () -> harness.leader() != null);
      FaultInjectionHarness.GatewayProcess owner = harness.leader();
      List<FaultInjectionHarness.GatewayProcess> others =
          harness.gateways().stream().filter(gateway -> gateway != owner).toList();

      // One is cut off, one is stopped, and the owner dies while the subject is on its way.
      others.get(0).proxy().cut(true, true);
      others.get(1).signal("STOP");
      assertEquals(200, others.get(2).requestStage("four"));
      harness.await("the owner has begun", () -> harness.moves() > 0);
      owner.kill();
      FaultInjectionHarness.GatewayProcess seeing = others.get(2);
      harness.await(
          "the rest go on without them",
          () ->
              seeing.subjectStatus() != null
                  && seeing.subjectStatus().path("inForceHere").asText().equals("four"));
      assertEquals("four", others.get(3).subjectStatus().path("target").asText());
      others.get(1).signal("CONT");
      others.get(0).proxy().heal();
      owner.start();
      harness.awaitStage("four");

      // Back, with the engine gone for a while and a gateway that restarts on the way.
      assertEquals(200, seeing.requestStage("one"));
      harness.restartStore();
      others.get(3).terminate();
      others.get(3).start();
      others.get(0).proxy().slow(40, 200);
      harness.awaitStage("one");

      RolloutHistoryChecker all = harness.histories();
      assertTrue(all.violations().isEmpty(), () -> String.join("\n", all.violations()));
      assertTrue(all.moves() >= 6, "noted moves " + all.moves());
      assertEquals(7, all.gatewayCount(), "five processes, and two that started again");
      assertTrue(all.leaderCount() >= 2, "the first owner died on the way");
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
          "both fall back",
          () -> one.hasLogged("is the safe one") && two.hasLogged("is the safe one"));
      assertEquals(503, one.requestStage("three"), "the operator is told");
      harness.injectStoreFault("garble");
      harness.await("it is said what is wrong", () -> one.hasLogged("engine-garbled"));
      harness.injectStoreFault("");
      harness.awaitStage("two");
      assertEquals(422, one.requestStage("nine"));
      assertEquals(200, two.requestStage("three"));
      harness.awaitStage("three");
      assertTrue(harness.histories().violations().isEmpty());
    }
  }

  /**
   * What the checker is worth: a gateway that counts on a lease ten times that of the others is
   * caught.
   */
  @Test
  void detectsGatewayThatTrustsItsLeaseTooLong() throws Exception {
    try (FaultInjectionHarness harness = new FaultInjectionHarness(directory)) {
      FaultInjectionHarness.GatewayProcess first = harness.add(LEASE_MS);
      harness.add(LEASE_MS);
      harness.awaitStage("one");
      harness.await("there is an owner", () -> harness.leader() != null);
      FaultInjectionHarness.GatewayProcess late = harness.add(LEASE_MS * 100);
      harness.awaitStage("one");
      late.proxy().cut(true, true);
      assertEquals(200, first.requestStage("four"));
      harness.await(
          "the rest do not wait for it",
          () -> first.subjectStatus().path("inForceHere").asText().equals("four"));
      assertFalse(
          harness.histories().violations().isEmpty(),
          "it may act in stage one, and the others do in four");
    }
  }
}

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
  void stagesStayAdjacentWhileOwnersDieAndGatewaysAreCutOffStoppedAndRestarted() throws Exception {
    try (FaultInjectionHarness rig = new FaultInjectionHarness(directory)) {
      for (int i = 0; i < 5; i++) {
        rig.add(LEASE_MS);
      }
      rig.awaitStage("one");
      rig.await("there is an owner", () -> rig.owner() != null);
      FaultInjectionHarness.Node owner = rig.owner();
      List<FaultInjectionHarness.Node> others =
          rig.nodes().stream().filter(n -> n != owner).toList();

      // One is cut off, one is stopped, and the owner dies while the subject is on its way.
      others.get(0).relay().cut(true, true);
      others.get(1).signal("STOP");
      assertEquals(200, others.get(2).target("four"));
      rig.await("the owner has begun", () -> rig.moves() > 0);
      owner.kill();
      FaultInjectionHarness.Node seeing = others.get(2);
      rig.await(
          "the rest go on without them",
          () ->
              seeing.shown() != null && seeing.shown().path("inForceHere").asText().equals("four"));
      assertEquals("four", others.get(3).shown().path("target").asText());
      others.get(1).signal("CONT");
      others.get(0).relay().heal();
      owner.start();
      rig.awaitStage("four");

      // Back, with the engine gone for a while and a gateway that restarts on the way.
      assertEquals(200, seeing.target("one"));
      rig.restartEngine();
      others.get(3).terminate();
      others.get(3).start();
      others.get(0).relay().slow(40, 200);
      rig.awaitStage("one");

      RolloutHistoryChecker all = rig.histories();
      assertTrue(all.broken().isEmpty(), () -> String.join("\n", all.broken()));
      assertTrue(all.moves() >= 6, "noted moves " + all.moves());
      assertEquals(7, all.actors(), "five processes, and two that started again");
      assertTrue(all.owners() >= 2, "the first owner died on the way");
    }
  }

  @Test
  void anEngineThatGarblesOrHasNoLeaderLeavesAllInTheSafeStageAndNothingIsLost() throws Exception {
    try (FaultInjectionHarness rig = new FaultInjectionHarness(directory)) {
      FaultInjectionHarness.Node one = rig.add(LEASE_MS);
      FaultInjectionHarness.Node two = rig.add(LEASE_MS);
      rig.awaitStage("one");
      assertEquals(200, one.target("two"));
      rig.awaitStage("two");
      rig.engineFault("leader=no");
      rig.await("both fall back", () -> one.says("is the safe one") && two.says("is the safe one"));
      assertEquals(503, one.target("three"), "the operator is told");
      rig.engineFault("garble");
      rig.await("it is said what is wrong", () -> one.says("engine-garbled"));
      rig.engineFault("");
      rig.awaitStage("two");
      assertEquals(422, one.target("nine"));
      assertEquals(200, two.target("three"));
      rig.awaitStage("three");
      assertTrue(rig.histories().broken().isEmpty());
    }
  }

  /**
   * What the checker is worth: a gateway that counts on a lease ten times that of the others is
   * caught.
   */
  @Test
  void aGatewayThatTrustsItsLeaseForTooLongIsCaught() throws Exception {
    try (FaultInjectionHarness rig = new FaultInjectionHarness(directory)) {
      FaultInjectionHarness.Node first = rig.add(LEASE_MS);
      rig.add(LEASE_MS);
      rig.awaitStage("one");
      rig.await("there is an owner", () -> rig.owner() != null);
      FaultInjectionHarness.Node late = rig.add(LEASE_MS * 100);
      rig.awaitStage("one");
      late.relay().cut(true, true);
      assertEquals(200, first.target("four"));
      rig.await(
          "the rest do not wait for it",
          () -> first.shown().path("inForceHere").asText().equals("four"));
      assertFalse(
          rig.histories().broken().isEmpty(), "it may act in stage one, and the others do in four");
    }
  }
}

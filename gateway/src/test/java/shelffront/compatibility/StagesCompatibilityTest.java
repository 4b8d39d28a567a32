package shelffront.compatibility;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import shelffront.coordination.CoordinationStore.Value;
import shelffront.coordination.InMemoryCoordinationStore;
import shelffront.rollout.RolloutState;
import shelffront.rolloutcontrol.RolloutConfig;
import shelffront.rolloutcontrol.RolloutCoordinator;
import shelffront.rolloutcontrol.RolloutHistory;

/**
 * Reads the subjects, members and rollout leader that version 0.2.0 wrote to the coordination
 * store. Subject drill moves from stage half to open and waits for g2, which still has epoch 1.
 * Subject valve is at stage wide, and its member g3 is revoked.
 */
class StagesCompatibilityTest {

  private static final String FLEET = "shelffront/maps/";

  @TempDir private Path directory;

  private final Queue<String> log = new ConcurrentLinkedQueue<>();
  private InMemoryCoordinationStore engine;

  @BeforeEach
  void loadEngine() throws Exception {
    engine = StoredEngine.load(StoredResource.copy("fleet-stages.jsonl", directory));
  }

  /** Leases of 600 s, so that none expires during a test. */
  private RolloutCoordinator stages(String name, String instance) throws Exception {
    RolloutConfig config =
        RolloutConfig.read(
            new ObjectMapper()
                .readTree(
                    "{\"engine\":\"127.0.0.1:1\",\"fleet\":\"maps\",\"name\":\""
                        + name
                        + "\",\"leaseMs\":600000,\"actMs\":600000,\"subjects\":{"
                        + "\"drill\":[\"closed\",\"half\",\"open\"],"
                        + "\"valve\":[\"shut\",\"wide\"]}}"),
            "/fleet");
    return new RolloutCoordinator(
        config,
        engine,
        instance,
        RolloutHistory.appendingTo(null),
        line -> log.add(String.valueOf(line)));
  }

  private static void awaitTrue(Callable<Boolean> condition) {
    await().atMost(Duration.ofSeconds(20)).until(condition);
  }

  private void assertNothingGarbled() {
    assertFalse(log.stream().anyMatch(line -> line.contains("garbled")), log.toString());
  }

  @Test
  void readsStagesOfSubjects() throws Exception {
    try (RolloutCoordinator stages = stages("g9", "z9")) {
      assertEquals(
          List.of(
              new RolloutCoordinator.SubjectStatus(
                  "drill", "half", "open", 2, null, false, List.of()),
              new RolloutCoordinator.SubjectStatus(
                  "valve", "wide", "wide", 2, null, false, List.of())),
          stages.status(null));
    }
  }

  @Test
  void joinsAtTheStageInForce() throws Exception {
    try (RolloutCoordinator stages = stages("g9", "z9")) {
      stages.start();
      awaitTrue(() -> stages.stateInForce("drill") != null && stages.stateInForce("valve") != null);
      assertEquals(new RolloutState(2, 1, 2), stages.stateInForce("drill"));
      assertEquals(new RolloutState(2, 1, 1), stages.stateInForce("valve"));
      Value member = engine.read(FLEET + "members/valve/g9-z9.1");
      assertTrue(
          member.text().startsWith("{\"epoch\":2,\"revoked\":false,\"nonce\":"), member.text());
      assertNothingGarbled();
    }
  }

  /**
   * A gateway recognizes its own leader key. It would wait for two leases before replacing the key
   * of another gateway.
   */
  @Test
  void recognizesOwnLeadershipAndReportsTheBlockingMember() throws Exception {
    try (RolloutCoordinator stages = stages("g1", "a1")) {
      stages.start();
      awaitTrue(() -> stages.status("drill").get(0).blockingMembers().equals(List.of("g2-b2.1")));
      RolloutCoordinator.SubjectStatus drill = stages.status("drill").get(0);
      assertTrue(drill.isLeader());
      assertEquals("half", drill.stage());
      assertEquals(2, drill.epoch());
      assertNothingGarbled();
    }
  }

  @Test
  void doesNotTakeLeadershipThatAnotherGatewayHolds() throws Exception {
    try (RolloutCoordinator stages = stages("g9", "z9")) {
      stages.start();
      awaitTrue(() -> stages.stateInForce("drill") != null);
      assertFalse(stages.status("drill").get(0).isLeader());
      assertEquals("g1-a1 38", engine.read(FLEET + "owner").text());
    }
  }

  /** All members of valve except the revoked one have acknowledged epoch 2. */
  @Test
  void waitsForTheLeaseOfRevokedMemberToExpire() throws Exception {
    try (RolloutCoordinator stages = stages("g1", "a1")) {
      stages.start();
      awaitTrue(() -> stages.status("valve").get(0).isLeader());
      RolloutState asked = stages.requestStage("valve", "shut");
      assertEquals(new RolloutState(2, 1, 0), asked);
      awaitTrue(() -> stages.status("valve").get(0).blockingMembers().equals(List.of("g3-c3.1")));
      assertEquals(
          "{\"epoch\":2,\"stage\":\"wide\",\"target\":\"shut\"}",
          engine.read(FLEET + "standing/valve").text());
      assertEquals(
          "{\"epoch\":1,\"revoked\":true,\"nonce\":0}",
          engine.read(FLEET + "members/valve/g3-c3.1").text());
      assertNothingGarbled();
    }
  }

  @Test
  void advancesOnceTheBlockingMemberHasLeft() throws Exception {
    Value member = engine.read(FLEET + "members/drill/g2-b2.1");
    assertEquals("{\"epoch\":1,\"revoked\":false,\"nonce\":384534809}", member.text());
    try (RolloutCoordinator stages = stages("g1", "a1")) {
      stages.start();
      awaitTrue(() -> stages.status("drill").get(0).blockingMembers().equals(List.of("g2-b2.1")));
      engine.checkAndDelete(member.key(), member.index());
      awaitTrue(() -> stages.status("drill").get(0).stage().equals("open"));
      assertEquals(
          "{\"epoch\":3,\"stage\":\"open\",\"target\":\"open\"}",
          engine.read(FLEET + "standing/drill").text());
    }
  }
}

package shelffront.rolloutcontrol;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import shelffront.coordination.CoordinationException;
import shelffront.coordination.CoordinationStore;
import shelffront.coordination.InMemoryCoordinationStore;
import shelffront.tenant.TenantSpecCodec.SpecException;

/**
 * Tests the rollouts of one gateway with an in-memory coordination store, their settings, and the
 * completeness of the documented error codes.
 */
class RolloutCoordinatorTest {

  private static final ObjectMapper JSON = new ObjectMapper();

  private static RolloutConfig config(String more) throws Exception {
    return RolloutConfig.read(
        JSON.readTree(
            "{\"engine\":\"127.0.0.1:1\",\"fleet\":\"f\",\"name\":\"g\","
                + "\"subjects\":{\"s\":[\"one\",\"two\",\"three\"]}"
                + more
                + "}"),
        "/fleet");
  }

  private static RolloutCoordinator coordinator(
      String moreSettings, CoordinationStore store, BlockingQueue<String> log) throws Exception {
    return new RolloutCoordinator(
        config(moreSettings),
        store,
        "1",
        RolloutHistory.appendingTo(null),
        line -> log.add(String.valueOf(line)));
  }

  private static void awaitLine(BlockingQueue<String> log, String wanted)
      throws InterruptedException {
    List<String> seen = new ArrayList<>();
    for (String line = log.poll(20, TimeUnit.SECONDS);
        line != null;
        line = log.poll(20, TimeUnit.SECONDS)) {
      if (line.contains(wanted)) {
        return;
      }
      seen.add(line);
    }
    throw new AssertionError("no log line contains \"" + wanted + "\"; lines seen: " + seen);
  }

  @Test
  void anOpenOperationBlocksTheAdvanceAfterTheNextUntilItIsClosed() throws Exception {
    BlockingQueue<String> log = new LinkedBlockingQueue<>();
    InMemoryCoordinationStore store = new InMemoryCoordinationStore();
    try (RolloutCoordinator coordinator = coordinator(",\"leaseMs\":600000", store, log)) {
      assertNull(coordinator.stateInForce("s"), "safe stage before the gateway has joined");
      assertNull(coordinator.beginOperation("s"));
      coordinator.start();
      awaitLine(log, "rollout s: stage one in force, epoch ");
      Operation operation = coordinator.beginOperation("s");
      assertEquals(1, operation.state().epoch());
      coordinator.requestStage("s", "three");
      awaitLine(log, "rollout s: stage two in force, epoch ");
      assertEquals(
          "two",
          coordinator.status("s").get(0).stage(),
          "no second advance while an operation is open under the stage one");
      assertTrue(
          store.list("shelffront/f/members/").values().get(0).text().contains("\"epoch\":1"));
      await()
          .atMost(Duration.ofSeconds(20))
          .until(() -> coordinator.status("s").get(0).blockingMembers().equals(List.of("g-1.1")));
      operation.close();
      operation.close();
      awaitLine(log, "rollout s: stage three in force, epoch ");
      assertThrows(
          RolloutException.UnknownStage.class, () -> coordinator.requestStage("s", "nine"));
      assertThrows(RolloutException.UnknownSubject.class, () -> coordinator.stateInForce("t"));
      assertThrows(RolloutException.UnknownSubject.class, () -> coordinator.status("t"));
      assertEquals(1, coordinator.status(null).size());
    }
    assertTrue(
        store.list("shelffront/f/members/").values().isEmpty(),
        "closing the coordinator removes its member");
  }

  /**
   * The target changes, and the watch reports it, after the leader has read the state and before it
   * waits. Guards against a wake-up that is lost then: the advance waited for the leader's next
   * renewal, a third of the lease.
   */
  @Test
  void aTargetThatChangesBetweenTheLeadersReadAndItsWaitIsAdvancedAtOnce() throws Exception {
    BlockingQueue<String> log = new LinkedBlockingQueue<>();
    HeldLeaderStore store = new HeldLeaderStore();
    try (RolloutCoordinator coordinator = coordinator(",\"leaseMs\":600000", store, log)) {
      coordinator.start();
      awaitLine(log, "rollout s: stage one in force, epoch ");
      store.awaitHeldLeader();
      coordinator.requestStage("s", "two");
      store.releaseLeaderAfterWatchHasReportedTheChange();
      awaitLine(log, "rollout s: stage two in force, epoch ");
    }
  }

  @Test
  void aMalformedStateIsLoggedAndTheSubjectStaysInTheSafeStage() throws Exception {
    BlockingQueue<String> log = new LinkedBlockingQueue<>();
    InMemoryCoordinationStore store = new InMemoryCoordinationStore();
    store.checkAndSet(
        "shelffront/f/standing/s", 0, "{\"epoch\":1,\"stage\":\"five\",\"target\":\"one\"}");
    try (RolloutCoordinator coordinator = coordinator("", store, log)) {
      coordinator.start();
      awaitLine(log, "engine-garbled");
      assertNull(coordinator.stateInForce("s"));
    }
  }

  @Test
  void anInvalidSettingIsReportedWithItsPointer() throws Exception {
    assertEquals(2, config("").shards());
    for (String[] bad :
        new String[][] {
          {",\"leaseMs\":1", "/fleet/leaseMs"},
          {",\"leaseMs\":\"6\"", "/fleet/leaseMs"},
          {",\"drift\":0.9", "/fleet/drift"},
          {",\"suspectMs\":100", "/fleet/suspectMs"},
          {",\"engine\":\"here\"", "/fleet/engine"},
          {",\"subjects\":{}", "/fleet/subjects"},
          {",\"subjects\":{\"s\":[\"a\"]}", "/fleet/subjects/s"},
          {",\"subjects\":{\"s\":[\"a\",\"a\"]}", "/fleet/subjects/s"},
          {",\"name\":\"a/b\"", "/fleet/name"},
          {",\"shards\":0", "/fleet/shards"},
          {",\"other\":1", "/fleet/other"}
        }) {
      SpecException error = assertThrows(SpecException.class, () -> config(bad[0]), bad[0]);
      assertEquals(bad[1], error.pointer());
    }
  }

  /** Every error code must be documented, so that an operator can look it up. */
  @Test
  void theOperatorsPageDocumentsEveryErrorCode() throws Exception {
    String page = Files.readString(Path.of("../docs/operators/fleet-changes.md"));
    List<Class<?>> kinds =
        new ArrayList<>(List.of(RolloutException.class.getPermittedSubclasses()));
    kinds.addAll(List.of(CoordinationException.class.getPermittedSubclasses()));
    assertEquals(7, kinds.size());
    for (Class<?> kind : kinds) {
      String code =
          kind.getSimpleName()
              .replaceAll("(?<=.)([A-Z])", "-$1")
              .toLowerCase(java.util.Locale.ROOT);
      assertTrue(page.contains("`" + code + "`"), code);
    }
  }
}

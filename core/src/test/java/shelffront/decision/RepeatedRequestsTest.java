package shelffront.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static shelffront.decision.RoutingTestHarness.EVENTUAL_READ;
import static shelffront.decision.RoutingTestHarness.KEYED_WRITE;
import static shelffront.decision.RoutingTestHarness.MS;
import static shelffront.decision.RoutingTestHarness.NON_IDEMPOTENT_WRITE;

import java.util.List;
import org.junit.jupiter.api.Test;
import shelffront.routing.AttemptStatus;
import shelffront.routing.Availability;
import shelffront.routing.Endpoint;
import shelffront.routing.Request;
import shelffront.routing.Role;
import shelffront.routing.Router;

/** A request that comes again under its id is bound by the attempts that were made before. */
class RepeatedRequestsTest {

  private final RoutingTestHarness harness = new RoutingTestHarness();

  /** Lets the client of a write leave while it runs; the attempt ends with the given status. */
  private void leaveWhileRunning(int classIndex, AttemptStatus status) {
    harness.start();
    send("a", classIndex, "k", 1);
    harness.router.onClientDisconnected(harness.nowMicros, "a");
    harness.advanceTime(600 * MS);
    harness.outcome("a", 0, "m1", status, Role.PRIMARY);
    harness.newActions();
  }

  private void send(String id, int classIndex, String key, int replicaSet) {
    harness.router.onRequest(
        harness.nowMicros,
        new Request(id, classIndex, "s", replicaSet, 3_000 * MS, Router.UNKNOWN, false, key));
  }

  private List<String> actionsOfRepeat(int classIndex, String key, int replicaSet) {
    send("a", classIndex, key, replicaSet);
    return harness.newActions().stream()
        .filter(action -> action.matches("(send|reject|fail) a.*"))
        .map(action -> action.split(" ")[0])
        .toList();
  }

  /** Guards against a write that runs twice because its client left and it came again. */
  @Test
  void failsNonIdempotentWriteThatMayHaveRun() {
    leaveWhileRunning(NON_IDEMPOTENT_WRITE, AttemptStatus.OK);
    assertEquals(List.of("fail"), actionsOfRepeat(NON_IDEMPOTENT_WRITE, null, 1));
    harness.advanceTime(2_000 * MS);
    assertEquals(List.of("fail"), actionsOfRepeat(NON_IDEMPOTENT_WRITE, null, 1));
  }

  @Test
  void failsNonIdempotentWriteWhoseConnectionWasReset() {
    leaveWhileRunning(NON_IDEMPOTENT_WRITE, AttemptStatus.RESET);
    assertEquals(List.of("fail"), actionsOfRepeat(NON_IDEMPOTENT_WRITE, null, 1));
  }

  @Test
  void sendsNonIdempotentWriteThatIsProvedNotExecuted() {
    leaveWhileRunning(NON_IDEMPOTENT_WRITE, AttemptStatus.NOT_SENT);
    assertEquals(List.of("send"), actionsOfRepeat(NON_IDEMPOTENT_WRITE, null, 1));
  }

  @Test
  void sendsKeyedWriteAgainInsideItsWindowOnly() {
    leaveWhileRunning(KEYED_WRITE, AttemptStatus.OK);
    assertEquals(List.of("send"), actionsOfRepeat(KEYED_WRITE, "k", 1));
    harness.outcome("a", 0, "m1", AttemptStatus.OK, Role.PRIMARY);
    harness.advanceTime(2_400 * MS); // 3 s after the first attempt, not after the second
    harness.newActions();
    assertEquals(List.of("fail"), actionsOfRepeat(KEYED_WRITE, "k", 1));
  }

  /** Guards against repeats that their hosts do not recognize. */
  @Test
  void failsKeyedWriteThatComesAgainWithAnotherKeyOrForAnotherReplicaSet() {
    leaveWhileRunning(KEYED_WRITE, AttemptStatus.OK);
    harness.updateEndpoints(new Endpoint("n1", "kind", "z1", 9, 1, 0, true, Availability.READY));
    harness.newActions();
    assertEquals(List.of("fail"), actionsOfRepeat(KEYED_WRITE, "other", 1));
    assertEquals(List.of("fail"), actionsOfRepeat(KEYED_WRITE, "k", 9));
  }

  @Test
  void sendsReadAgainAtWill() {
    leaveWhileRunning(EVENTUAL_READ, AttemptStatus.OK);
    assertEquals(List.of("send"), actionsOfRepeat(EVENTUAL_READ, null, 1));
  }
}

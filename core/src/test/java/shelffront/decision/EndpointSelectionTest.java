package shelffront.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import shelffront.routing.AttemptStatus;
import shelffront.routing.LagCheck;
import shelffront.routing.Role;

/** What the design page says of the ordinary path. */
class EndpointSelectionTest {

  private final RoutingTestHarness bed = new RoutingTestHarness();

  @Test
  void writesGoToThePrimaryAsLastTold() {
    bed.start();
    bed.request("a", RoutingTestHarness.ONCE);
    assertEquals(List.of("send a m1"), bed.news());
    bed.probed("m2", Role.PRIMARY, bed.now);
    bed.request("b", RoutingTestHarness.ONCE);
    assertEquals(List.of("send b m2"), bed.news());
  }

  @Test
  void anOlderWordDoesNotMoveThePrimary() {
    bed.start();
    bed.pass(100 * RoutingTestHarness.MS);
    bed.probed("m2", Role.PRIMARY, bed.now);
    bed.probed("m1", Role.PRIMARY, bed.now - 50 * RoutingTestHarness.MS);
    bed.request("a", RoutingTestHarness.ONCE);
    assertTrue(bed.news().contains("send a m2"));
  }

  @Test
  void withoutAPrimaryAWriteTriesMembersInIdOrderAndPausesAfterARound() {
    bed.bare("m1", "m2", "m3");
    bed.news();
    bed.request("a", RoutingTestHarness.KEYED);
    bed.outcome("a", 0, "m1", AttemptStatus.REPLICA_UNSUITABLE, Role.REPLICA);
    bed.outcome("a", 1, "m2", AttemptStatus.REPLICA_UNSUITABLE, Role.REPLICA);
    bed.outcome("a", 2, "m3", AttemptStatus.REPLICA_UNSUITABLE, Role.REPLICA);
    assertEquals(List.of("send a m1", "send a m2", "send a m3"), bed.news());
    bed.pass(90 * RoutingTestHarness.MS);
    assertEquals(List.of(), bed.news());
    bed.pass(30 * RoutingTestHarness.MS);
    assertEquals(List.of("send a m1"), bed.news());
  }

  @Test
  void aSessionReadGoesToAReplicaThatCoversItsWrite() {
    bed.start();
    bed.pass(20 * RoutingTestHarness.MS);
    bed.probed("m3", Role.REPLICA, bed.now);
    bed.request("a", RoutingTestHarness.SESSION, 10 * RoutingTestHarness.MS);
    assertEquals(List.of("send a m3"), bed.news());
  }

  @Test
  void aSessionReadIsHeldShortlyAndThenGoesToThePrimary() {
    bed.start();
    bed.pass(20 * RoutingTestHarness.MS);
    bed.request("a", RoutingTestHarness.SESSION, 10 * RoutingTestHarness.MS);
    bed.pass(40 * RoutingTestHarness.MS);
    assertEquals(List.of(), bed.news());
    bed.pass(20 * RoutingTestHarness.MS);
    assertEquals(List.of("send a m1"), bed.news());
  }

  @Test
  void newsOfAPositionEndTheHold() {
    bed.start();
    bed.pass(20 * RoutingTestHarness.MS);
    bed.request("a", RoutingTestHarness.SESSION, 10 * RoutingTestHarness.MS);
    bed.pass(10 * RoutingTestHarness.MS);
    bed.probed("m2", Role.REPLICA, bed.now);
    assertEquals(List.of("send a m2"), bed.news());
  }

  @Test
  void aSessionWithoutAWriteMayReadFromAnyReplica() {
    bed.start();
    bed.pass(10_000 * RoutingTestHarness.MS);
    bed.news();
    bed.request("a", RoutingTestHarness.SESSION, 0);
    assertTrue(bed.news().get(0).matches("send a m[23]"));
  }

  @Test
  void rememberedSessionsSeeTheWritesAnsweredHere() {
    bed.carried = false;
    bed.start();
    bed.pass(5 * RoutingTestHarness.MS);
    bed.request("w", RoutingTestHarness.ONCE);
    bed.outcome("w", 0, "m1", AttemptStatus.OK, Role.PRIMARY);
    bed.request("r", RoutingTestHarness.SESSION, 0);
    assertEquals(List.of("send w m1"), bed.news());
    bed.pass(5 * RoutingTestHarness.MS);
    bed.probed("m2", Role.REPLICA, bed.now);
    assertEquals(List.of("send r m2"), bed.news());
  }

  @Test
  void boundedReadsAvoidReplicasThatAreTooFarBehind() {
    bed.start();
    bed.pass(900 * RoutingTestHarness.MS);
    bed.probed("m3", Role.REPLICA, bed.now - 100 * RoutingTestHarness.MS);
    bed.news();
    for (String id : List.of("a", "b", "c")) {
      bed.request(id, RoutingTestHarness.BOUNDED);
    }
    assertEquals(List.of("send a m3", "send b m3", "send c m3"), bed.news());
  }

  @Test
  void anyReadsSkipThePositionCheck() {
    bed.start();
    bed.pass(10_000 * RoutingTestHarness.MS);
    bed.news();
    bed.request("a", RoutingTestHarness.ANY);
    assertTrue(bed.news().get(0).matches("send a m[23]"));
  }

  @Test
  void freshReadsGoToThePrimary() {
    bed.start();
    bed.request("a", RoutingTestHarness.FRESH);
    assertEquals(List.of("send a m1"), bed.news());
  }

  @Test
  void positionsNeverMoveBackAndNeverAheadOfTheClock() {
    bed.start();
    bed.pass(900 * RoutingTestHarness.MS);
    bed.probed("m2", Role.REPLICA, bed.now);
    bed.probed("m2", Role.REPLICA, bed.now - 5_000 * RoutingTestHarness.MS);
    bed.probed("m3", Role.REPLICA, bed.now + 5_000 * RoutingTestHarness.MS);
    bed.news();
    bed.request("a", RoutingTestHarness.BOUNDED);
    bed.request("b", RoutingTestHarness.BOUNDED);
    assertEquals(List.of("send a m2", "send b m2"), bed.news());
  }

  @Test
  void aFreshInstanceCountsReplicasBehindAndProbesEachOnce() {
    bed.bare("m1", "m2");
    assertEquals(List.of("probe m1", "probe m2"), bed.out.lines);
    bed.news();
    bed.request("a", RoutingTestHarness.BOUNDED);
    assertEquals(List.of(), bed.news());
  }

  @Test
  void whereMembersRefuseAReplicaThatKeptPaceIsTrustedUntilAMiss() {
    bed.check = LagCheck.REJECT;
    bed.start();
    bed.pass(150 * RoutingTestHarness.MS);
    bed.news();
    bed.request("a", RoutingTestHarness.SESSION, 20 * RoutingTestHarness.MS);
    String first = bed.news().get(0);
    assertTrue(first.matches("send a m[23]"), first);
    bed.outcome("a", 0, first.substring(7), AttemptStatus.REPLICA_UNSUITABLE, Role.REPLICA);
    String second = bed.news().get(0);
    assertFalse(second.equals(first), "not to the member that just missed");
  }
}

package shelffront.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import shelffront.route.Router.LagCheck;
import shelffront.route.Router.Role;
import shelffront.route.Router.Status;

/** What the design page says of the ordinary path. */
class OrdinaryPathTest {

  private final Bed bed = new Bed();

  @Test
  void writesGoToThePrimaryAsLastTold() {
    bed.start();
    bed.request("a", Bed.ONCE);
    assertEquals(List.of("send a m1"), bed.news());
    bed.probed("m2", Role.PRIMARY, bed.now);
    bed.request("b", Bed.ONCE);
    assertEquals(List.of("send b m2"), bed.news());
  }

  @Test
  void anOlderWordDoesNotMoveThePrimary() {
    bed.start();
    bed.pass(100 * Bed.MS);
    bed.probed("m2", Role.PRIMARY, bed.now);
    bed.probed("m1", Role.PRIMARY, bed.now - 50 * Bed.MS);
    bed.request("a", Bed.ONCE);
    assertTrue(bed.news().contains("send a m2"));
  }

  @Test
  void withoutAPrimaryAWriteTriesMembersInIdOrderAndPausesAfterARound() {
    bed.bare("m1", "m2", "m3");
    bed.news();
    bed.request("a", Bed.KEYED);
    bed.outcome("a", 0, "m1", Status.MISS, Role.REPLICA);
    bed.outcome("a", 1, "m2", Status.MISS, Role.REPLICA);
    bed.outcome("a", 2, "m3", Status.MISS, Role.REPLICA);
    assertEquals(List.of("send a m1", "send a m2", "send a m3"), bed.news());
    bed.pass(90 * Bed.MS);
    assertEquals(List.of(), bed.news());
    bed.pass(30 * Bed.MS);
    assertEquals(List.of("send a m1"), bed.news());
  }

  @Test
  void aSessionReadGoesToAReplicaThatCoversItsWrite() {
    bed.start();
    bed.pass(20 * Bed.MS);
    bed.probed("m3", Role.REPLICA, bed.now);
    bed.request("a", Bed.SESSION, 10 * Bed.MS);
    assertEquals(List.of("send a m3"), bed.news());
  }

  @Test
  void aSessionReadIsHeldShortlyAndThenGoesToThePrimary() {
    bed.start();
    bed.pass(20 * Bed.MS);
    bed.request("a", Bed.SESSION, 10 * Bed.MS);
    bed.pass(40 * Bed.MS);
    assertEquals(List.of(), bed.news());
    bed.pass(20 * Bed.MS);
    assertEquals(List.of("send a m1"), bed.news());
  }

  @Test
  void newsOfAPositionEndTheHold() {
    bed.start();
    bed.pass(20 * Bed.MS);
    bed.request("a", Bed.SESSION, 10 * Bed.MS);
    bed.pass(10 * Bed.MS);
    bed.probed("m2", Role.REPLICA, bed.now);
    assertEquals(List.of("send a m2"), bed.news());
  }

  @Test
  void aSessionWithoutAWriteMayReadFromAnyReplica() {
    bed.start();
    bed.pass(10_000 * Bed.MS);
    bed.news();
    bed.request("a", Bed.SESSION, 0);
    assertTrue(bed.news().get(0).matches("send a m[23]"));
  }

  @Test
  void rememberedSessionsSeeTheWritesAnsweredHere() {
    bed.carried = false;
    bed.start();
    bed.pass(5 * Bed.MS);
    bed.request("w", Bed.ONCE);
    bed.outcome("w", 0, "m1", Status.OK, Role.PRIMARY);
    bed.request("r", Bed.SESSION, 0);
    assertEquals(List.of("send w m1"), bed.news());
    bed.pass(5 * Bed.MS);
    bed.probed("m2", Role.REPLICA, bed.now);
    assertEquals(List.of("send r m2"), bed.news());
  }

  @Test
  void boundedReadsAvoidReplicasThatAreTooFarBehind() {
    bed.start();
    bed.pass(900 * Bed.MS);
    bed.probed("m3", Role.REPLICA, bed.now - 100 * Bed.MS);
    bed.news();
    for (String id : List.of("a", "b", "c")) {
      bed.request(id, Bed.BOUNDED);
    }
    assertEquals(List.of("send a m3", "send b m3", "send c m3"), bed.news());
  }

  @Test
  void anyReadsSkipThePositionCheck() {
    bed.start();
    bed.pass(10_000 * Bed.MS);
    bed.news();
    bed.request("a", Bed.ANY);
    assertTrue(bed.news().get(0).matches("send a m[23]"));
  }

  @Test
  void freshReadsGoToThePrimary() {
    bed.start();
    bed.request("a", Bed.FRESH);
    assertEquals(List.of("send a m1"), bed.news());
  }

  @Test
  void positionsNeverMoveBackAndNeverAheadOfTheClock() {
    bed.start();
    bed.pass(900 * Bed.MS);
    bed.probed("m2", Role.REPLICA, bed.now);
    bed.probed("m2", Role.REPLICA, bed.now - 5_000 * Bed.MS);
    bed.probed("m3", Role.REPLICA, bed.now + 5_000 * Bed.MS);
    bed.news();
    bed.request("a", Bed.BOUNDED);
    bed.request("b", Bed.BOUNDED);
    assertEquals(List.of("send a m2", "send b m2"), bed.news());
  }

  @Test
  void aFreshInstanceCountsReplicasBehindAndProbesEachOnce() {
    bed.bare("m1", "m2");
    assertEquals(List.of("probe m1", "probe m2"), bed.out.lines);
    bed.news();
    bed.request("a", Bed.BOUNDED);
    assertEquals(List.of(), bed.news());
  }

  @Test
  void whereMembersRefuseAReplicaThatKeptPaceIsTrustedUntilAMiss() {
    bed.check = LagCheck.REFUSE;
    bed.start();
    bed.pass(150 * Bed.MS);
    bed.news();
    bed.request("a", Bed.SESSION, 20 * Bed.MS);
    String first = bed.news().get(0);
    assertTrue(first.matches("send a m[23]"), first);
    bed.outcome("a", 0, first.substring(7), Status.MISS, Role.REPLICA);
    String second = bed.news().get(0);
    assertFalse(second.equals(first), "not to the member that just missed");
  }
}

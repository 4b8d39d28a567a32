package shelffront.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import shelffront.routing.AttemptStatus;
import shelffront.routing.Availability;
import shelffront.routing.DeduplicationScope;
import shelffront.routing.Endpoint;
import shelffront.routing.Request;
import shelffront.routing.Role;

/** The five rules, each on both sides of its boundary. */
class SafetyRulesTest {

  private final RoutingTestHarness bed = new RoutingTestHarness();

  @Test
  void everyRequestIsAnsweredOnceByItsDeadline() {
    bed.start();
    bed.request("a", RoutingTestHarness.ONCE);
    bed.pass(2_990 * RoutingTestHarness.MS);
    assertEquals(List.of("send a m1"), bed.news());
    bed.pass(30 * RoutingTestHarness.MS);
    assertEquals(List.of("fail a"), bed.news());
    bed.outcome("a", 0, "m1", AttemptStatus.TIMEOUT, Role.UNKNOWN);
    bed.pass(5_000 * RoutingTestHarness.MS);
    assertEquals(List.of(), bed.news());
  }

  @Test
  void aMemberOfAnotherSetTakesNothingWithItThatWasKnownOfItThere() {
    bed.start();
    // Its position is one in the log of the first set, and says nothing of the second one's.
    bed.changed(
        new Endpoint("m2", "kind", "z1", 2, 1, 0, false, Availability.READY),
        new Endpoint("m1", "kind", "z1", 2, 1, 0, false, Availability.READY));
    bed.router.onRequest(
        bed.now,
        new Request(
            "a",
            RoutingTestHarness.SESSION,
            "s",
            2,
            1_500 * RoutingTestHarness.MS,
            bed.now - 10_000 * RoutingTestHarness.MS,
            false));
    assertEquals(List.of(), bed.news(), "neither is known to have it");
    bed.request("b", RoutingTestHarness.FRESH);
    assertEquals(List.of(), bed.news(), "the first set has no known primary any more");
    bed.probed("m2", Role.REPLICA, bed.now - 5_000 * RoutingTestHarness.MS);
    assertEquals(List.of("send a m2"), bed.news());
  }

  @Test
  void aWriteWithoutAnyMemberIsRefusedInTime() {
    bed.bare();
    bed.request("a", RoutingTestHarness.ONCE);
    bed.pass(3_000 * RoutingTestHarness.MS);
    assertEquals(List.of("reject a"), bed.news());
  }

  @Test
  void aHeldReadIsRefusedAtOnceWhenItCanNoLongerBeOnTime() {
    bed.bare("m1", "m2");
    bed.news();
    bed.request("a", RoutingTestHarness.BOUNDED);
    bed.pass(500 * RoutingTestHarness.MS);
    assertEquals(List.of("reject a"), bed.news());
  }

  @Test
  void aReadUnderWayAtItsAimIsLeftToAnswerLate() {
    bed.duplicate = false;
    bed.start();
    bed.request("a", RoutingTestHarness.BOUNDED);
    bed.news();
    bed.pass(1_400 * RoutingTestHarness.MS);
    assertEquals(
        List.of(), bed.news(), "a refusal would only bring the client back with the same work");
    bed.pass(200 * RoutingTestHarness.MS);
    assertTrue(bed.news().contains("reject a"));
  }

  @Test
  void nothingIsSentForARequestWhoseClientHasGone() {
    bed.bare("m1", "m2");
    bed.request("a", RoutingTestHarness.BOUNDED);
    bed.router.onClientDisconnected(bed.now, "a");
    bed.probed("m1", Role.PRIMARY, bed.now);
    bed.probed("m2", Role.REPLICA, bed.now);
    bed.pass(2_000 * RoutingTestHarness.MS);
    assertEquals(List.of(), bed.news());
  }

  @Test
  void anUnsafeWriteIsTriedAgainOnlyWhenItNeverRan() {
    bed.start();
    bed.request("a", RoutingTestHarness.ONCE);
    bed.outcome("a", 0, "m1", AttemptStatus.REPLICA_UNSUITABLE, Role.REPLICA);
    bed.probed("m2", Role.PRIMARY, bed.now);
    assertTrue(bed.news().contains("send a m2"));
    bed.outcome("a", 1, "m2", AttemptStatus.RESET, Role.UNKNOWN);
    assertEquals(List.of("fail a"), bed.news());
  }

  @Test
  void aKeyedWriteThatMayHaveRunIsResentInsideItsWindowOnly() {
    bed.start();
    bed.request("a", RoutingTestHarness.KEYED);
    bed.outcome("a", 0, "m1", AttemptStatus.ERROR, Role.UNKNOWN);
    assertEquals(List.of("send a m1", "send a m1"), bed.news());
    bed.pass(2_999 * RoutingTestHarness.MS);
    bed.outcome("a", 1, "m1", AttemptStatus.ERROR, Role.UNKNOWN);
    assertEquals(List.of("fail a"), bed.news());
  }

  @Test
  void aKeyedWriteThatMayHaveRunIsRefusedOnlyIfEveryMemberDiscardsRepeats() {
    bed.scope = DeduplicationScope.ALL;
    bed.attempts = 1;
    bed.start();
    bed.request("a", RoutingTestHarness.KEYED);
    bed.outcome("a", 0, "m1", AttemptStatus.ERROR, Role.UNKNOWN);
    assertEquals(List.of("send a m1", "reject a"), bed.news());
  }

  @Test
  void attemptsEndAtTheLimit() {
    bed.attempts = 2;
    bed.start();
    bed.request("a", RoutingTestHarness.ANY);
    bed.outcome("a", 0, "m2", AttemptStatus.ERROR, Role.REPLICA);
    bed.outcome("a", 1, "m3", AttemptStatus.ERROR, Role.REPLICA);
    List<String> news = bed.news();
    assertEquals(3, news.size());
    assertEquals("reject a", news.get(2));
  }

  @Test
  void withoutLeaveForDuplicatesOneAttemptIsOutAtATime() {
    bed.duplicate = false;
    bed.start();
    bed.request("a", RoutingTestHarness.ANY);
    bed.pass(390 * RoutingTestHarness.MS);
    assertEquals(1, bed.news().stream().filter(l -> l.startsWith("send")).count());
  }

  @Test
  void nothingNewGoesToADrainingOrGoneMember() {
    for (Availability state : List.of(Availability.DRAINING, Availability.REMOVED)) {
      RoutingTestHarness b = new RoutingTestHarness().start();
      b.changed(
          RoutingTestHarness.member("m2", 0, state), RoutingTestHarness.member("m1", 0, state));
      for (int i = 0; i < 20; i++) {
        b.request("r" + i, RoutingTestHarness.ANY);
        b.request("w" + i, RoutingTestHarness.ONCE);
      }
      b.pass(3_000 * RoutingTestHarness.MS);
      assertFalse(b.news().stream().anyMatch(l -> l.startsWith("send") && !l.endsWith("m3")));
    }
  }

  /**
   * Sends to a member that restarts cold as the only one left, from instances of equal, usual
   * traffic.
   */
  private static long sentToTheColdOne(int instances, String member, int classIndex) {
    long sent = 0;
    for (int i = 0; i < instances; i++) {
      RoutingTestHarness b = new RoutingTestHarness();
      b.routers = instances;
      b.start();
      for (int j = 0; j < 6; j++) {
        b.request("w" + i + "-" + j, classIndex);
        String line = b.news().stream().filter(l -> l.startsWith("send")).findFirst().orElseThrow();
        b.pass(1_000 * RoutingTestHarness.MS - 1);
        b.outcome("w" + i + "-" + j, 0, line.split(" ")[2], AttemptStatus.OK, Role.UNKNOWN);
        b.news();
      }
      for (String id : List.of("m1", "m2", "m3")) {
        b.changed(
            RoutingTestHarness.member(
                id,
                id.equals(member) ? b.now : 0,
                id.equals(member) ? Availability.READY : Availability.DRAINING));
      }
      b.news();
      b.request("c" + i, classIndex);
      b.pass(300 * RoutingTestHarness.MS);
      sent += b.news().contains("send c" + i + " " + member) ? 1 : 0;
    }
    return sent;
  }

  @Test
  void manyInstancesTogetherSpareAColdMember() {
    // A warm member got 3 of 6 requests in 6 s, so 150 in a fall time from all; a quarter of that
    // is the
    // cold one's capacity, and 2.5 times that makes it fall.
    long sent = sentToTheColdOne(200, "m2", RoutingTestHarness.ANY);
    assertTrue(sent > 5 && sent < 94, sent + " sends");
  }

  @Test
  void manyInstancesTogetherSpareAColdPrimaryToo() {
    long sent = sentToTheColdOne(200, "m1", RoutingTestHarness.KEYED);
    assertTrue(sent > 5 && sent < 94, sent + " sends");
  }

  @Test
  void aReadNeverGoesToAReplicaNotKnownToHaveItsPosition() {
    bed.start();
    bed.pass(20 * RoutingTestHarness.MS);
    bed.probed("m2", Role.REPLICA, bed.now - 10 * RoutingTestHarness.MS);
    bed.request("a", RoutingTestHarness.SESSION, 10 * RoutingTestHarness.MS);
    assertEquals(List.of("send a m2"), bed.news(), "at its position exactly");
    bed.request("b", RoutingTestHarness.SESSION, 10 * RoutingTestHarness.MS - 1);
    assertEquals(List.of(), bed.news(), "one microsecond behind");
  }

  /** Guards against searches for a primary that come back to a cold member at each round. */
  @Test
  void aWriteInSearchOfAPrimaryTriesAColdMemberOnceAtMost() {
    bed.start();
    for (String id : List.of("m1", "m2", "m3")) {
      bed.changed(RoutingTestHarness.member(id, bed.now, Availability.READY));
      bed.probed(id, Role.REPLICA, bed.now);
    }
    int tries = 0;
    for (int i = 0; i < 20; i++) {
      String id = "w" + i;
      List<String> all = new ArrayList<>();
      bed.request(id, RoutingTestHarness.KEYED);
      for (int round = 0; round < 8; round++) {
        for (String line : bed.news()) {
          if (line.startsWith("send " + id + " ")) {
            all.add(line);
            bed.outcome(
                id,
                all.size() - 1,
                line.split(" ")[2],
                AttemptStatus.REPLICA_UNSUITABLE,
                Role.REPLICA);
          }
        }
        bed.pass(110 * RoutingTestHarness.MS);
      }
      assertEquals(all.stream().distinct().toList(), all);
      tries += all.size();
      bed.router.onClientDisconnected(bed.now, id);
    }
    assertTrue(tries > 0, "a cold member is tried");
  }

  @Test
  void whereTheListDoesNotProveDeathAGoneMemberMayStillBeTriedButNotADrainingOne() {
    bed.softRemoval = true;
    bed.start();
    bed.changed(
        RoutingTestHarness.member("m3", 0, Availability.DRAINING),
        RoutingTestHarness.member("m2", 0, Availability.REMOVED));
    bed.request("a", RoutingTestHarness.ANY);
    assertEquals(List.of("send a m2"), bed.news());
    bed.changed(RoutingTestHarness.member("m3", 0, Availability.REMOVED));
    bed.outcome("a", 0, "m2", AttemptStatus.CONNECT_FAILED, Role.UNKNOWN);
    bed.pass(300 * RoutingTestHarness.MS);
    assertFalse(bed.news().stream().anyMatch(l -> l.endsWith("m3")));
  }
}

package shelffront.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import shelffront.routing.AttemptOutcome;
import shelffront.routing.AttemptStatus;
import shelffront.routing.Availability;
import shelffront.routing.EndpointUpdateKind;
import shelffront.routing.Request;
import shelffront.routing.Role;
import shelffront.routing.Router;

/**
 * What the module does when things fail; each test stands for a failure met on the bench or on a
 * page.
 */
class FailureHandlingTest {

  private final RoutingTestHarness bed = new RoutingTestHarness();

  private long sendsTo(String member) {
    return bed.news().stream().filter(l -> l.startsWith("send") && l.endsWith(member)).count();
  }

  @Test
  void aMemberThatHoldsWorkAndAnswersNothingIsLeftAloneAndItsReadsAreCopied() {
    bed.start();
    for (int i = 0; i < 12; i++) {
      bed.request("a" + i, RoutingTestHarness.ANY);
    }
    List<String> sent = bed.news();
    for (String line : sent) {
      if (line.endsWith("m3")) {
        bed.outcome(line.split(" ")[1], 0, "m3", AttemptStatus.OK, Role.REPLICA);
      }
    }
    bed.pass(390 * RoutingTestHarness.MS);
    List<String> news = bed.news();
    assertTrue(
        news.stream().anyMatch(l -> l.startsWith("send") && l.endsWith("m3")), news.toString());
    assertTrue(news.stream().anyMatch(l -> l.startsWith("cancel")), news.toString());
    bed.request("b", RoutingTestHarness.ANY);
    assertFalse(bed.news().contains("send b m2"));
  }

  @Test
  void aRefusedConnectionIsThinProofButFailedProbesAddUp() {
    bed.start();
    bed.changed(RoutingTestHarness.member("m3", 0, Availability.DRAINING));
    for (int i = 0; i < 3; i++) {
      bed.request("a" + i, RoutingTestHarness.ANY);
      bed.outcome("a" + i, 0, "m2", AttemptStatus.CONNECT_FAILED, Role.UNKNOWN);
    }
    assertEquals(3, sendsTo("m2"), "one that is well loses connections too");
    bed.request("b", RoutingTestHarness.ANY);
    assertEquals(0, sendsTo("m2"), "none for a moment");
    bed.probed("m2", Role.REPLICA, bed.now);
    bed.pass(45 * RoutingTestHarness.MS);
    bed.request("c", RoutingTestHarness.ANY);
    assertTrue(sendsTo("m2") > 0, "its table was full, it lives");
    for (int i = 0; i < 6; i++) {
      bed.router.onHealthCheckResult(
          bed.now, "m2", AttemptStatus.TIMEOUT, 250 * RoutingTestHarness.MS, null);
    }
    bed.news();
    bed.pass(400 * RoutingTestHarness.MS);
    bed.request("d", RoutingTestHarness.ANY);
    assertEquals(0, sendsTo("m2"), "six failures in a row");
  }

  /** Guards against idle connections that fill a member's table while others need one. */
  @Test
  void idleConnectionsAreGivenBackWhileTheyAreScarce() {
    bed.start();
    bed.request("a", RoutingTestHarness.ONCE);
    bed.outcome("a", 0, "m1", AttemptStatus.OK, Role.PRIMARY);
    assertFalse(bed.news().contains("closeIdle m1"), "kept while nothing is refused");
    bed.request("b", RoutingTestHarness.ONCE);
    for (int i = 0; i < 3; i++) {
      bed.outcome("b", i, "m1", AttemptStatus.CONNECT_FAILED, Role.UNKNOWN);
    }
    bed.pass(45 * RoutingTestHarness.MS);
    bed.outcome("b", 3, "m1", AttemptStatus.OK, Role.PRIMARY);
    assertTrue(bed.news().contains("closeIdle m1"));
  }

  @Test
  void aBannedPrimaryGetsAnUnsafeWriteAgainOnceAProbeProvesIt() {
    bed.start();
    for (int i = 0; i < 6; i++) {
      bed.request("w" + i, RoutingTestHarness.ONCE);
    }
    bed.pass(600 * RoutingTestHarness.MS);
    bed.request("x", RoutingTestHarness.ONCE);
    bed.news();
    bed.pass(400 * RoutingTestHarness.MS);
    assertFalse(bed.news().contains("send x m1"), "silent");
    for (int i = 0; i < 6; i++) {
      bed.outcome("w" + i, 0, "m1", AttemptStatus.TIMEOUT, Role.UNKNOWN);
    }
    bed.pass(2_500 * RoutingTestHarness.MS);
    bed.request("y", RoutingTestHarness.ONCE);
    assertFalse(bed.news().contains("send y m1"), "not proved");
    bed.probed("m1", Role.PRIMARY, bed.now);
    assertTrue(bed.news().contains("send y m1"), "proved");
  }

  /**
   * The connection of one was lost; those sent after it were answered at once, so the member is
   * neither slow nor silent.
   */
  @Test
  void whatOthersOvertookSaysNothingOfItsMember() {
    bed.start();
    for (int lost = 0; lost < 6; lost++) {
      bed.request("lost" + lost, RoutingTestHarness.ONCE);
      for (int i = 0; i < 4; i++) {
        bed.pass(40 * RoutingTestHarness.MS);
        bed.request("w" + lost + i, RoutingTestHarness.ONCE);
        bed.outcome(
            "w" + lost + i, 0, "m1", AttemptStatus.OK, Role.PRIMARY, 5 * RoutingTestHarness.MS);
      }
      bed.news();
      bed.pass(2_700 * RoutingTestHarness.MS);
      bed.outcome("lost" + lost, 0, "m1", AttemptStatus.TIMEOUT, Role.UNKNOWN);
    }
    bed.news();
    for (int i = 0; i < 5; i++) {
      bed.request("after" + i, RoutingTestHarness.ONCE);
    }
    assertEquals(5, sendsTo("m1"));
  }

  @Test
  void aMemberThatOnlyOwesWhatOthersOvertookIsNotSilent() {
    bed.start();
    for (int i = 0; i < 120; i++) {
      bed.request("w" + i, RoutingTestHarness.ONCE);
      bed.outcome("w" + i, 0, "m1", AttemptStatus.OK, Role.PRIMARY, 10 * RoutingTestHarness.MS);
    }
    bed.request("lost", RoutingTestHarness.ONCE);
    bed.pass(RoutingTestHarness.MS);
    bed.request("later", RoutingTestHarness.ONCE);
    bed.outcome("later", 0, "m1", AttemptStatus.OK, Role.PRIMARY, 10 * RoutingTestHarness.MS);
    bed.pass(500 * RoutingTestHarness.MS);
    bed.news();
    bed.request("next", RoutingTestHarness.ONCE);
    assertTrue(bed.news().contains("send next m1"));
  }

  @Test
  void aReadThatOthersOvertookIsCopied() {
    bed.start();
    bed.changed(RoutingTestHarness.member("m3", 0, Availability.DRAINING));
    for (int i = 0; i < 120; i++) {
      bed.request("r" + i, RoutingTestHarness.ANY);
      bed.outcome("r" + i, 0, "m2", AttemptStatus.OK, Role.REPLICA, 10 * RoutingTestHarness.MS);
    }
    bed.request("lost", RoutingTestHarness.ANY);
    bed.pass(RoutingTestHarness.MS);
    bed.request("later", RoutingTestHarness.ANY);
    bed.outcome("later", 0, "m2", AttemptStatus.OK, Role.REPLICA, 10 * RoutingTestHarness.MS);
    bed.changed(RoutingTestHarness.member("m3", 0, Availability.READY));
    bed.probed("m3", Role.REPLICA, bed.now);
    bed.news();
    for (int i = 0; i < 30; i++) {
      bed.pass(10 * RoutingTestHarness.MS);
      bed.request("s" + i, RoutingTestHarness.ANY);
      bed.outcome("s" + i, 0, "m2", AttemptStatus.OK, Role.REPLICA, 10 * RoutingTestHarness.MS);
      bed.outcome("s" + i, 0, "m3", AttemptStatus.OK, Role.REPLICA, 10 * RoutingTestHarness.MS);
    }
    List<String> news = bed.news();
    assertTrue(news.contains("send lost m3"), news.toString());
    assertTrue(news.contains("cancel lost 0"), news.toString());
  }

  /** Nothing else would prove it: reads go to replicas, and a once-only write is no trial. */
  @Test
  void aPrimaryOnTrialIsProbedUntilItIsProved() {
    bed.start();
    for (int i = 0; i < 6; i++) {
      bed.request("w" + i, RoutingTestHarness.ONCE);
    }
    bed.pass(600 * RoutingTestHarness.MS);
    bed.request("x", RoutingTestHarness.ONCE);
    bed.pass(2_500 * RoutingTestHarness.MS);
    for (int i = 0; i < 6; i++) {
      bed.outcome("w" + i, 0, "m1", AttemptStatus.TIMEOUT, Role.UNKNOWN);
    }
    bed.router.onHealthCheckResult(
        bed.now, "m1", AttemptStatus.TIMEOUT, 250 * RoutingTestHarness.MS, null);
    bed.probed("m2", Role.REPLICA, bed.now);
    bed.probed("m3", Role.REPLICA, bed.now);
    bed.pass(2_500 * RoutingTestHarness.MS);
    long before = bed.probesOf("m1");
    bed.request("y", RoutingTestHarness.ONCE);
    bed.pass(300 * RoutingTestHarness.MS);
    assertTrue(bed.probesOf("m1") > before);
  }

  @Test
  void aMemberThatAnswersProbesAgainIsUsedAtOnce() {
    bed.start();
    for (int i = 0; i < 8; i++) {
      bed.router.onHealthCheckResult(
          bed.now, "m1", AttemptStatus.TIMEOUT, 250 * RoutingTestHarness.MS, null);
    }
    bed.request("w", RoutingTestHarness.ONCE);
    assertFalse(bed.news().contains("send w m1"), "it answers no probe");
    bed.pass(200 * RoutingTestHarness.MS);
    bed.probed("m1", Role.PRIMARY, bed.now);
    assertTrue(bed.news().contains("send w m1"), "it does");
  }

  /**
   * Its timer from the time when it was held finds it sent, and permission for copies is no reason
   * for one.
   */
  @Test
  void whatWasHeldAndSentIsNotSentAgainWhenItsHoldWouldHaveEnded() {
    for (int type :
        List.of(RoutingTestHarness.ONCE, RoutingTestHarness.KEYED, RoutingTestHarness.FRESH)) {
      RoutingTestHarness held = new RoutingTestHarness();
      held.start();
      held.changed(RoutingTestHarness.member("m1", 0, Availability.DRAINING));
      held.request("r", type);
      held.pass(100 * RoutingTestHarness.MS);
      held.changed(RoutingTestHarness.member("m1", 0, Availability.READY));
      held.probed("m1", Role.PRIMARY, held.now);
      for (String line : held.news()) {
        if (line.startsWith("send r") && !line.endsWith("m1")) {
          held.outcome("r", 0, line.split(" ")[2], AttemptStatus.REPLICA_UNSUITABLE, Role.REPLICA);
        }
      }
      held.pass(20 * RoutingTestHarness.MS);
      held.news();
      for (int i = 0; i < 50; i++) {
        held.pass(20 * RoutingTestHarness.MS);
        held.request("w" + i, RoutingTestHarness.ONCE);
        held.outcome("w" + i, 0, "m1", AttemptStatus.OK, Role.PRIMARY, 5 * RoutingTestHarness.MS);
      }
      assertFalse(
          held.news().stream().anyMatch(l -> l.matches("(send|reject|fail) r( .*)?")),
          "class " + type);
    }
  }

  @Test
  void whatWasNeverTriedIsRefusedBeforeHalfOfItsTime() {
    bed.start();
    bed.changed(RoutingTestHarness.member("m1", 0, Availability.DRAINING));
    for (String m : List.of("m2", "m3")) {
      for (int i = 0; i < 12; i++) {
        bed.router.onHealthCheckResult(
            bed.now, m, AttemptStatus.TIMEOUT, 250 * RoutingTestHarness.MS, null);
      }
    }
    bed.request("w", RoutingTestHarness.ONCE);
    bed.pass(1_100 * RoutingTestHarness.MS);
    assertFalse(bed.news().stream().anyMatch(l -> l.startsWith("reject w")));
    bed.pass(150 * RoutingTestHarness.MS);
    assertTrue(bed.news().stream().anyMatch(l -> l.startsWith("reject w")));
  }

  @Test
  void probesCostAsMuchAsTheirPriceAllows() {
    long cheap = probesOfHeldReads(0.01);
    long dear = probesOfHeldReads(0.1);
    assertTrue(dear <= 20 + 200 * 0.1 + 3, dear + " probes");
    assertTrue(cheap > 2 * dear, cheap + " and " + dear + " probes");
  }

  /** Two hundred reads that no replica covers, over ten seconds. */
  private static long probesOfHeldReads(double price) {
    RoutingTestHarness held = new RoutingTestHarness();
    held.probePrice = price;
    held.start();
    held.pass(2_000 * RoutingTestHarness.MS);
    long before = held.probes();
    for (int i = 0; i < 200; i++) {
      held.request("r" + i, RoutingTestHarness.BOUNDED);
      held.pass(50 * RoutingTestHarness.MS);
      held.probed("m2", Role.REPLICA, held.now - 5_000 * RoutingTestHarness.MS);
      held.probed("m3", Role.REPLICA, held.now - 5_000 * RoutingTestHarness.MS);
    }
    return held.probes() - before;
  }

  @Test
  void connectionsRefusedSendAnUnsafeWriteElsewhereOnceThePrimaryIsTold() {
    bed.start();
    bed.request("w", RoutingTestHarness.ONCE);
    for (int i = 0; i < 3; i++) {
      bed.outcome("w", i, "m1", AttemptStatus.CONNECT_FAILED, Role.UNKNOWN);
    }
    bed.pass(30 * RoutingTestHarness.MS);
    bed.probed("m2", Role.PRIMARY, bed.now);
    assertEquals(
        List.of("send w m1", "send w m1", "send w m1", "send w m2"),
        bed.news().stream().filter(a -> a.startsWith("send")).toList());
  }

  @Test
  void abandonedReadsLowerAMembersLimitUnderOneAtATime() {
    bed.routers = 20;
    bed.start();
    bed.changed(RoutingTestHarness.member("m3", 0, Availability.DRAINING));
    for (int i = 0; i < 60; i++) {
      bed.request("a" + i, RoutingTestHarness.BOUNDED);
      bed.probed("m2", Role.REPLICA, bed.now);
      bed.pass(450 * RoutingTestHarness.MS);
      bed.outcome("a" + i, 0, "m2", AttemptStatus.TIMEOUT, Role.UNKNOWN);
    }
    assertTrue(sendsTo("m2") < 40, "a member that answers no read in time is not asked each time");
  }

  @Test
  void aTryWithTooLittleTimeLeftIsRefusedAtOnceInsteadOfWorkedOnInVain() {
    bed.start();
    bed.router.onRequest(
        bed.now,
        new Request("a", RoutingTestHarness.ONCE, "s", 1, 60 * RoutingTestHarness.MS, 0, true));
    assertEquals(List.of("reject a"), bed.news());
  }

  @Test
  void whatEarnsMostForItsWorkLeavesTheQueueFirst() {
    bed.bare("m1", "m2", "m3");
    bed.news();
    bed.request("low", RoutingTestHarness.FRESH);
    bed.request("high", RoutingTestHarness.KEYED);
    bed.outcome("high", 0, "m1", AttemptStatus.REPLICA_UNSUITABLE, Role.REPLICA);
    bed.outcome("high", 1, "m2", AttemptStatus.OK, Role.PRIMARY);
    assertEquals(List.of("send high m1", "send high m2", "send low m2"), bed.news());
  }

  @Test
  void aFailedSubscriptionIsAskedForAgainWithGrowingPauses() {
    bed.listAsked = true;
    bed.bare("m1");
    assertTrue(bed.news().contains("subscribe true"));
    for (int i = 0; i < 8; i++) {
      bed.router.onEndpoints(bed.now, EndpointUpdateKind.FAILED, 0, List.of());
      bed.pass(3_100 * RoutingTestHarness.MS);
      assertEquals(List.of("subscribe true"), bed.news());
    }
  }

  /**
   * Guards against work that grows with all held requests at each outcome; without the limit it
   * takes over 20 s.
   */
  @Test
  void aFloodOfHeldRequestsDoesNotMakeEachOutcomeDear() {
    bed.start();
    assertTimeoutPreemptively(
        Duration.ofSeconds(20),
        () -> {
          for (int i = 0; i < 20_000; i++) {
            bed.request("held" + i, RoutingTestHarness.FRESH);
          }
          for (int i = 0; i < 20_000; i++) {
            bed.outcome("unknown", 0, "m2", AttemptStatus.OK, Role.REPLICA);
            bed.request("a" + i, RoutingTestHarness.ANY);
            bed.outcome("a" + i, 0, "m2", AttemptStatus.OK, Role.REPLICA);
          }
        });
  }

  @Test
  void unknownMessagesAndLateEventsArePassedOver() {
    bed.start();
    bed.router.onPeerMessage(bed.now, 2, new byte[] {9, 9});
    bed.outcome("never", 0, "m1", AttemptStatus.OK, Role.PRIMARY);
    bed.outcome("never", 3, "nobody", AttemptStatus.RESET, Role.UNKNOWN);
    bed.router.onClientDisconnected(bed.now, "never");
    bed.router.onHealthCheckResult(bed.now, "nobody", AttemptStatus.OK, 1, null);
    bed.router.onTimer(bed.now, "odd");
    assertEquals(List.of(), bed.news());
  }

  /**
   * At one request a second a clock asks far too often or too late; the read that needs a position
   * asks.
   */
  @Test
  void positionsAreAskedForWhenAReadNeedsThemAndNotOnAClock() {
    bed.bare("m1", "m2", "m3", "m4", "m5");
    bed.probed("m1", Role.PRIMARY, bed.now);
    for (String id : List.of("m2", "m3", "m4", "m5")) {
      bed.probed(id, Role.REPLICA, bed.now);
    }
    bed.out.lines.clear();
    bed.pass(30_000 * RoutingTestHarness.MS);
    assertEquals(List.of(), bed.out.lines, "nothing needs a position");
    bed.request("a", RoutingTestHarness.BOUNDED);
    assertEquals(2, bed.out.lines.size(), "two are asked, not the whole group");
    String asked = bed.out.lines.get(0).substring("probe ".length());
    bed.probed(asked, Role.REPLICA, bed.now - 100 * RoutingTestHarness.MS);
    assertTrue(bed.out.lines.contains("send a " + asked), bed.out.lines.toString());
  }

  /**
   * Guards against overload that an instance with few requests sees too late: one answer tells of
   * the group.
   */
  @Test
  void aLateAnswerOfOneMemberHoldsBackReadsThatTheGroupCouldNotAnswerInTime() {
    bed.start();
    bed.request("a", RoutingTestHarness.SESSION);
    bed.pass(2_000 * RoutingTestHarness.MS);
    bed.news();
    bed.outcome("a", 0, "m2", AttemptStatus.TIMEOUT, Role.UNKNOWN);
    bed.request("b", RoutingTestHarness.SESSION);
    assertFalse(
        bed.news().stream().anyMatch(l -> l.startsWith("send b")), "no member would be in time");
    bed.pass(15_000 * RoutingTestHarness.MS);
    bed.request("c", RoutingTestHarness.SESSION);
    assertTrue(bed.news().stream().anyMatch(l -> l.startsWith("send c")), "the evidence has faded");
  }

  /**
   * Guards against work that ends late for little worth while it makes the next requests late as
   * well.
   */
  @Test
  void aReadWorthLittleWhenLateIsGivenUpAtItsAim() {
    bed.start();
    for (String id : List.of("m1", "m2", "m3")) {
      bed.changed(RoutingTestHarness.member(id, 0, Availability.DRAINING));
    }
    bed.request("a", RoutingTestHarness.ANY);
    bed.pass(401 * RoutingTestHarness.MS);
    assertEquals(List.of("reject a"), bed.news());
  }

  /** Guards against giving back connections that could not be set up again in time. */
  @Test
  void whereNewConnectionsTakeTooLongOpenOnesAreKeptAndPreferred() {
    bed.start();
    bed.request("a", RoutingTestHarness.ANY);
    String used = bed.news().get(0).substring("send a ".length());
    bed.outcome("a", 0, used, AttemptStatus.OK, Role.REPLICA);
    bed.request("w", RoutingTestHarness.KEYED);
    bed.router.onAttemptOutcome(
        bed.now,
        new AttemptOutcome(
            "w",
            0,
            "m1",
            AttemptStatus.CONNECT_FAILED,
            false,
            250 * RoutingTestHarness.MS,
            Role.UNKNOWN,
            Router.UNKNOWN,
            null));
    for (int i = 0; i < 5; i++) {
      bed.request("b" + i, RoutingTestHarness.ANY);
      bed.outcome("b" + i, 0, used, AttemptStatus.OK, Role.REPLICA);
      assertTrue(bed.news().contains("send b" + i + " " + used), "the connected one");
    }
    bed.outcome("w", 1, "m1", AttemptStatus.OK, Role.PRIMARY);
    assertFalse(bed.news().stream().anyMatch(l -> l.startsWith("closeIdle")), "kept open");
  }

  /**
   * Guards against memory and work that grow with the requests of the last seconds instead of those
   * held.
   */
  @Test
  void timersOfEndedRequestsDoNotPileUp() throws ReflectiveOperationException {
    bed.start();
    for (int i = 0; i < 20_000; i++) {
      bed.request("a" + i, RoutingTestHarness.KEYED);
      bed.outcome("a" + i, 0, "m1", AttemptStatus.OK, Role.PRIMARY);
    }
    int size = bed.router.state.timers.size();
    assertTrue(size < 1_000, size + " timers");
  }

  /**
   * Hosts that answer within a millisecond were all left alone at the first hiccup: 4,000 reads a
   * second lost.
   */
  @Test
  void aHiccupIsNoSilenceHoweverQuickTheMembersAre() {
    bed.start();
    for (int i = 0; i < 600; i++) {
      bed.request("q" + i, RoutingTestHarness.ANY);
      String member =
          bed.news().stream()
              .filter(l -> l.startsWith("send"))
              .findFirst()
              .orElseThrow()
              .split(" ")[2];
      bed.now += RoutingTestHarness.MS;
      bed.outcome("q" + i, 0, member, AttemptStatus.OK, Role.REPLICA, RoutingTestHarness.MS);
    }
    bed.news();
    for (int i = 0; i < 12; i++) {
      bed.request("a" + i, RoutingTestHarness.ANY);
    }
    assertEquals(12, bed.news().stream().filter(l -> l.matches("send a[0-9]+ m[23]")).count());
    bed.pass(20 * RoutingTestHarness.MS);
    bed.request("b", RoutingTestHarness.ANY);
    List<String> news = bed.news();
    assertTrue(news.stream().noneMatch(l -> l.startsWith("cancel")), news.toString());
    assertTrue(news.stream().anyMatch(l -> l.startsWith("send b m")), news.toString());
    bed.pass(40 * RoutingTestHarness.MS);
    assertTrue(bed.news().stream().anyMatch(l -> l.startsWith("cancel")), "that long is silence");
  }
}

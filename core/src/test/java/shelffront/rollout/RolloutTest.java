package shelffront.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What the checker does not see: that the mechanism gets on, and the figures of its bounds. */
class RolloutTest {

  private static final LeaseTimings BOUNDS = new LeaseTimings(3_000, 500, 0.01, 2_000);
  private static final RolloutState FIRST = new RolloutState(1, 0, 2);

  private static Map<String, RolloutLeader.VersionedMember> one(
      long epoch, boolean revoked, long index) {
    return Map.of("g", new RolloutLeader.VersionedMember(new Member(epoch, revoked), index));
  }

  @Test
  void aMoveGoesOneStageAndOneEpochAtATimeInEitherDirection() {
    assertEquals(new RolloutState(2, 1, 2), FIRST.next());
    assertEquals(new RolloutState(2, 1, 0), new RolloutState(1, 2, 0).next());
    assertEquals(new RolloutState(7, 2, 2), new RolloutState(7, 2, 2).next());
    assertEquals(
        new RolloutState(1, 0, 1),
        FIRST.withTarget(1),
        "the epoch is that of a stage, not of a action");
  }

  @Test
  void theLapseCoversASlowHolderAndAFastOwner() {
    // 3.5 ms of a clock that is 1 % slow are 3.535 ms, and those are 3.571 ms of one that is 1 %
    // fast.
    assertEquals(3_571, BOUNDS.leaseExpiryBoundMicros());
    assertThrows(IllegalArgumentException.class, () -> new LeaseTimings(3_000, 0, 1, 0));
    assertThrows(IllegalArgumentException.class, () -> new LeaseTimings(0, 0, 0, 0));
    assertThrows(IllegalArgumentException.class, () -> new LeaseTimings(1, 0, Double.NaN, 0));
  }

  @Test
  void aMemberThatAcknowledgedLetsTheSubjectMove() {
    RolloutLeader owner = RolloutLeader.fresh(BOUNDS).onRead(0, FIRST, 5, one(1, false, 9));
    assertEquals(List.of(new RolloutLeader.Advance(5, FIRST.next())), owner.actions());
    assertTrue(owner.blockingMembers().isEmpty());
  }

  @Test
  void aMemberThatRenewsIsWaitedForAndOneThatDoesNotIsRevoked() {
    RolloutLeader owner = RolloutLeader.fresh(BOUNDS);
    for (int i = 0; i < 20; i++) {
      owner = owner.onRead(i * 500, FIRST, 5, one(0, false, 9 + i / 2));
      assertTrue(owner.actions().isEmpty(), "it renews");
      assertEquals(List.of("g"), owner.blockingMembers());
    }
    for (int i = 20; i < 26; i++) {
      owner = owner.onRead(i * 500, FIRST, 5, one(0, false, 18));
    }
    assertEquals(List.of(new RolloutLeader.Revoke("g", 18, new Member(0, true))), owner.actions());
  }

  @Test
  void nobodyIsBlamedForATimeInWhichTheOwnerSawNothing() {
    RolloutLeader owner = RolloutLeader.fresh(BOUNDS).onRead(0, FIRST, 5, one(0, false, 9));
    owner = owner.onRead(60_000, FIRST, 5, one(0, false, 9));
    assertTrue(owner.actions().isEmpty(), "the engine was away; members renew as it comes back");
  }

  @Test
  void theMarkOfARevokedMemberGoesOnceItsLeaseHasLapsed() {
    RolloutLeader owner = RolloutLeader.fresh(BOUNDS).onRead(0, FIRST, 5, one(0, true, 9));
    assertTrue(owner.actions().isEmpty());
    assertEquals(BOUNDS.leaseExpiryBoundMicros(), owner.wakeAt());
    owner = owner.onRead(BOUNDS.leaseExpiryBoundMicros(), FIRST, 5, one(0, true, 9));
    assertEquals(
        List.of(new RolloutLeader.Advance(5, FIRST.next()), new RolloutLeader.RemoveMember("g", 9)),
        owner.actions());
  }

  @Test
  void aHolderJoinsTakesUpWhatItReadsAndFallsBackByItself() {
    LeaseHolder h = LeaseHolder.absent(BOUNDS);
    assertNull(h.onStateRead(1, FIRST).inForce(0), "no member yet");
    LeaseHolder.Write join =
        assertInstanceOf(LeaseHolder.Write.class, h.nextAction(0, Long.MAX_VALUE));
    h = h.onWriteAnswered(0, 40, join, true, 3).onStateRead(1, FIRST);
    assertEquals(FIRST, h.inForce(2_999));
    assertNull(h.inForce(3_000), "its lease ran from when it asked");
    assertEquals(
        new LeaseHolder.Write(3, new Member(1, false)),
        h.nextAction(100, Long.MAX_VALUE),
        "it acknowledges at once");
    assertNull(h.nextAction(100, 0), "not while something older goes on");
    assertTrue(h.waitsForOpenOperations());
    LeaseHolder gone = h.onWriteUnknown(100).onOwnKeyRead(110, new Member(0, true), 4);
    assertNull(gone.inForce(110));
    assertFalse(gone.isMember());
    assertEquals(2, gone.term(), "it joins anew under another name");
    assertNull(gone.onStateRead(1, FIRST).inForce(110), "what was read before tells nothing now");
  }

  @Test
  void theFenceTakesNothingOlderThanWhatItTook() {
    FencingGuard fence = new FencingGuard();
    assertTrue(fence.admits(3) && fence.admits(3) && fence.admits(4));
    assertFalse(fence.admits(3));
    assertEquals(4, fence.newestEpoch());
  }
}

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

  private static final LeaseTimings TIMINGS = new LeaseTimings(3_000, 500, 0.01, 2_000);
  private static final RolloutState FIRST_STATE = new RolloutState(1, 0, 2);

  private static Map<String, RolloutLeader.VersionedMember> oneMember(
      long epoch, boolean revoked, long index) {
    return Map.of("g", new RolloutLeader.VersionedMember(new Member(epoch, revoked), index));
  }

  @Test
  void anAdvanceChangesOneStageAndOneEpochInEitherDirection() {
    assertEquals(new RolloutState(2, 1, 2), FIRST_STATE.next());
    assertEquals(new RolloutState(2, 1, 0), new RolloutState(1, 2, 0).next());
    assertEquals(new RolloutState(7, 2, 2), new RolloutState(7, 2, 2).next());
    assertEquals(
        new RolloutState(1, 0, 1),
        FIRST_STATE.withTarget(1),
        "the epoch is that of a stage, not of a action");
  }

  @Test
  void theLeaseExpiryBoundCoversASlowHolderAndAFastLeader() {
    // 3.5 ms of a clock that is 1 % slow are 3.535 ms, and those are 3.571 ms of one that is 1 %
    // fast.
    assertEquals(3_571, TIMINGS.leaseExpiryBoundMicros());
    assertThrows(IllegalArgumentException.class, () -> new LeaseTimings(3_000, 0, 1, 0));
    assertThrows(IllegalArgumentException.class, () -> new LeaseTimings(0, 0, 0, 0));
    assertThrows(IllegalArgumentException.class, () -> new LeaseTimings(1, 0, Double.NaN, 0));
  }

  @Test
  void theLeaderAdvancesOnceEveryMemberHasAcknowledged() {
    RolloutLeader owner =
        RolloutLeader.fresh(TIMINGS).onRead(0, FIRST_STATE, 5, oneMember(1, false, 9));
    assertEquals(List.of(new RolloutLeader.Advance(5, FIRST_STATE.next())), owner.actions());
    assertTrue(owner.blockingMembers().isEmpty());
  }

  @Test
  void aMemberThatRenewsBlocksTheAdvanceAndOneThatDoesNotIsRevoked() {
    RolloutLeader owner = RolloutLeader.fresh(TIMINGS);
    for (int i = 0; i < 20; i++) {
      owner = owner.onRead(i * 500, FIRST_STATE, 5, oneMember(0, false, 9 + i / 2));
      assertTrue(owner.actions().isEmpty(), "it renews");
      assertEquals(List.of("g"), owner.blockingMembers());
    }
    for (int i = 20; i < 26; i++) {
      owner = owner.onRead(i * 500, FIRST_STATE, 5, oneMember(0, false, 18));
    }
    assertEquals(List.of(new RolloutLeader.Revoke("g", 18, new Member(0, true))), owner.actions());
  }

  @Test
  void noMemberIsRevokedForATimeInWhichTheLeaderReadNothing() {
    RolloutLeader owner =
        RolloutLeader.fresh(TIMINGS).onRead(0, FIRST_STATE, 5, oneMember(0, false, 9));
    owner = owner.onRead(60_000, FIRST_STATE, 5, oneMember(0, false, 9));
    assertTrue(owner.actions().isEmpty(), "the engine was away; members renew as it comes back");
  }

  @Test
  void aRevokedMemberIsRemovedOnceItsLeaseHasExpired() {
    RolloutLeader owner =
        RolloutLeader.fresh(TIMINGS).onRead(0, FIRST_STATE, 5, oneMember(0, true, 9));
    assertTrue(owner.actions().isEmpty());
    assertEquals(TIMINGS.leaseExpiryBoundMicros(), owner.wakeAt());
    owner = owner.onRead(TIMINGS.leaseExpiryBoundMicros(), FIRST_STATE, 5, oneMember(0, true, 9));
    assertEquals(
        List.of(
            new RolloutLeader.Advance(5, FIRST_STATE.next()),
            new RolloutLeader.RemoveMember("g", 9)),
        owner.actions());
  }

  @Test
  void aHolderJoinsTakesUpTheStateAndFallsBackWhenItsLeaseExpires() {
    LeaseHolder holder = LeaseHolder.absent(TIMINGS);
    assertNull(holder.onStateRead(1, FIRST_STATE).inForce(0), "no member yet");
    LeaseHolder.Write join =
        assertInstanceOf(LeaseHolder.Write.class, holder.nextAction(0, Long.MAX_VALUE));
    holder = holder.onWriteAnswered(0, 40, join, true, 3).onStateRead(1, FIRST_STATE);
    assertEquals(FIRST_STATE, holder.inForce(2_999));
    assertNull(holder.inForce(3_000), "its lease ran from when it asked");
    assertEquals(
        new LeaseHolder.Write(3, new Member(1, false)),
        holder.nextAction(100, Long.MAX_VALUE),
        "it acknowledges at once");
    assertNull(holder.nextAction(100, 0), "not while something older goes on");
    assertTrue(holder.waitsForOpenOperations());
    LeaseHolder gone = holder.onWriteUnknown(100).onOwnKeyRead(110, new Member(0, true), 4);
    assertNull(gone.inForce(110));
    assertFalse(gone.isMember());
    assertEquals(2, gone.term(), "it joins anew under another name");
    assertNull(
        gone.onStateRead(1, FIRST_STATE).inForce(110), "what was read before tells nothing now");
  }

  @Test
  void theFencingGuardRejectsOlderEpochs() {
    FencingGuard fence = new FencingGuard();
    assertTrue(fence.admits(3) && fence.admits(3) && fence.admits(4));
    assertFalse(fence.admits(3));
    assertEquals(4, fence.newestEpoch());
  }
}

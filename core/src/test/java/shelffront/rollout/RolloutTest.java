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

/** Covers what {@link RolloutModelTest} does not: that rollouts make progress, and their bounds. */
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
        "a new target does not change the epoch");
  }

  @Test
  void theLeaseExpiryBoundCoversASlowHolderAndAFastLeader() {
    // 3.5 ms by a clock that is 1 % slow take 3.535 ms, which a clock that is 1 % fast counts as
    // 3.571 ms.
    assertEquals(3_571, TIMINGS.leaseExpiryBoundMicros());
    assertThrows(IllegalArgumentException.class, () -> new LeaseTimings(3_000, 0, 1, 0));
    assertThrows(IllegalArgumentException.class, () -> new LeaseTimings(0, 0, 0, 0));
    assertThrows(IllegalArgumentException.class, () -> new LeaseTimings(1, 0, Double.NaN, 0));
  }

  @Test
  void theLeaderAdvancesOnceEveryMemberHasAcknowledged() {
    RolloutLeader leader =
        RolloutLeader.initial(TIMINGS).onRead(0, FIRST_STATE, 5, oneMember(1, false, 9));
    assertEquals(List.of(new RolloutLeader.Advance(5, FIRST_STATE.next())), leader.actions());
    assertTrue(leader.blockingMembers().isEmpty());
  }

  @Test
  void aMemberThatRenewsBlocksTheAdvanceAndOneThatDoesNotIsRevoked() {
    RolloutLeader leader = RolloutLeader.initial(TIMINGS);
    for (int i = 0; i < 20; i++) {
      leader = leader.onRead(i * 500, FIRST_STATE, 5, oneMember(0, false, 9 + i / 2));
      assertTrue(leader.actions().isEmpty(), "the member renews");
      assertEquals(List.of("g"), leader.blockingMembers());
    }
    for (int i = 20; i < 26; i++) {
      leader = leader.onRead(i * 500, FIRST_STATE, 5, oneMember(0, false, 18));
    }
    assertEquals(List.of(new RolloutLeader.Revoke("g", 18, new Member(0, true))), leader.actions());
  }

  @Test
  void noMemberIsRevokedForATimeInWhichTheLeaderReadNothing() {
    RolloutLeader leader =
        RolloutLeader.initial(TIMINGS).onRead(0, FIRST_STATE, 5, oneMember(0, false, 9));
    leader = leader.onRead(60_000, FIRST_STATE, 5, oneMember(0, false, 9));
    assertTrue(
        leader.actions().isEmpty(), "the store may have been unreachable for the members too");
  }

  @Test
  void aRevokedMemberIsRemovedOnceItsLeaseHasExpired() {
    RolloutLeader leader =
        RolloutLeader.initial(TIMINGS).onRead(0, FIRST_STATE, 5, oneMember(0, true, 9));
    assertTrue(leader.actions().isEmpty());
    assertEquals(TIMINGS.leaseExpiryBoundMicros(), leader.nextReadAtMicros());
    leader = leader.onRead(TIMINGS.leaseExpiryBoundMicros(), FIRST_STATE, 5, oneMember(0, true, 9));
    assertEquals(
        List.of(
            new RolloutLeader.Advance(5, FIRST_STATE.next()),
            new RolloutLeader.RemoveMember("g", 9)),
        leader.actions());
  }

  @Test
  void aHolderJoinsTakesUpTheStateAndFallsBackWhenItsLeaseExpires() {
    LeaseHolder holder = LeaseHolder.notJoined(TIMINGS);
    assertNull(holder.onStateRead(1, FIRST_STATE).inForce(0), "not a member yet");
    LeaseHolder.Write join =
        assertInstanceOf(LeaseHolder.Write.class, holder.nextAction(0, Long.MAX_VALUE));
    holder = holder.onWriteResponse(0, 40, join, true, 3).onStateRead(1, FIRST_STATE);
    assertEquals(FIRST_STATE, holder.inForce(2_999));
    assertNull(holder.inForce(3_000), "the lease starts when the write was sent");
    assertEquals(
        new LeaseHolder.Write(3, new Member(1, false)),
        holder.nextAction(100, Long.MAX_VALUE),
        "no older operation is open");
    assertNull(holder.nextAction(100, 0), "an operation is open under an older epoch");
    assertTrue(holder.waitsForOpenOperations());
    LeaseHolder gone = holder.onWriteOutcomeUnknown(100).onOwnKeyRead(110, new Member(0, true), 4);
    assertNull(gone.inForce(110));
    assertFalse(gone.isMember());
    assertEquals(2, gone.term(), "the gateway rejoins under a new member key");
    assertNull(
        gone.onStateRead(1, FIRST_STATE).inForce(110), "the state was read in an earlier term");
  }

  @Test
  void theFencingGuardRejectsOlderEpochs() {
    FencingGuard guard = new FencingGuard();
    assertTrue(guard.admits(3) && guard.admits(3) && guard.admits(4));
    assertFalse(guard.admits(3));
    assertEquals(4, guard.newestEpoch());
  }
}

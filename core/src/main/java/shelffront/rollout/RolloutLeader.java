package shelffront.rollout;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Decides when a subject advances to its next stage, and which members are revoked and removed.
 *
 * <p>Invariants: a subject advances only if each member has acknowledged the state that was read,
 * or this leader itself has observed the member as revoked for longer than any lease can last. Any
 * gateway may lead. Two concurrent leaders are safe, because every write is a check-and-set on the
 * index that it replaces and only one of two conflicting writes succeeds.
 *
 * <p>Immutable: each read of the coordination store returns the next value, so any thread may read
 * one. Times are microseconds of the leader's own monotonic clock.
 */
public final class RolloutLeader {

  /** A member and the index of its key. */
  public record VersionedMember(Member member, long index) {}

  /** A write to the coordination store, applied only if the key still has the expected index. */
  public sealed interface Action {}

  /** Advance the subject to its next stage. */
  public record Advance(long expectedIndex, RolloutState newState) implements Action {}

  /** End the membership of a member that has stopped renewing. */
  public record Revoke(String memberKey, long expectedIndex, Member revoked) implements Action {}

  /** Remove the key of a revoked member whose lease must have expired. */
  public record RemoveMember(String memberKey, long expectedIndex) implements Action {}

  /** The index of a member's key and when this leader first read it, by the leader's clock. */
  private record Sighting(long index, long sinceMicros) {}

  /**
   * Multiplies the suspicion timeout while no advance is pending: members that are gone block
   * nothing then, and their removal can wait.
   */
  private static final int IDLE_SUSPICION_FACTOR = 10;

  /** Time of the last read before the first one; halved so that subtracting it cannot overflow. */
  private static final long LONG_AGO = Long.MIN_VALUE / 2;

  private static final long NEVER = Long.MAX_VALUE;

  private final LeaseTimings timings;
  private final Set<SafetyRule> disabledRules;
  private final Map<String, Sighting> sightings;
  private final List<Action> actions;
  private final List<String> blockingMembers;
  private final long lastReadAtMicros;
  private final long wakeAtMicros;

  private RolloutLeader(
      LeaseTimings timings,
      Set<SafetyRule> disabledRules,
      Map<String, Sighting> sightings,
      List<Action> actions,
      List<String> blockingMembers,
      long lastReadAtMicros,
      long wakeAtMicros) {
    this.timings = timings;
    this.disabledRules = disabledRules;
    this.sightings = sightings;
    this.actions = actions;
    this.blockingMembers = blockingMembers;
    this.lastReadAtMicros = lastReadAtMicros;
    this.wakeAtMicros = wakeAtMicros;
  }

  /** Returns a leader that has not read the coordination store. */
  public static RolloutLeader fresh(LeaseTimings timings) {
    return fresh(timings, EnumSet.noneOf(SafetyRule.class));
  }

  static RolloutLeader fresh(LeaseTimings timings, Set<SafetyRule> disabledRules) {
    return new RolloutLeader(
        timings, disabledRules, Map.of(), List.of(), List.of(), LONG_AGO, NEVER);
  }

  /** Returns the writes that are due, in the order in which they must be sent. */
  public List<Action> actions() {
    return actions;
  }

  /**
   * Returns the keys of the members that block the pending advance; empty if no advance is pending
   * or no member blocks it.
   */
  public List<String> blockingMembers() {
    return blockingMembers;
  }

  /**
   * Returns when to read again if nothing changes before, or {@link Long#MAX_VALUE} if a read is
   * needed only after a change.
   */
  public long wakeAt() {
    return wakeAtMicros;
  }

  /** Returns a copy without actions, for use once they were performed or abandoned. */
  public RolloutLeader withoutActions() {
    return new RolloutLeader(
        timings,
        disabledRules,
        sightings,
        List.of(),
        blockingMembers,
        lastReadAtMicros,
        wakeAtMicros);
  }

  /**
   * Handles a read of the coordination store. Safety depends on reading the state before the
   * members: a gateway that joins after the members were read reads the state later still, so it
   * cannot adopt an older state than the one that was read here.
   *
   * @param nowMicros when the response arrived
   */
  public RolloutLeader onRead(
      long nowMicros, RolloutState state, long stateIndex, Map<String, VersionedMember> members) {
    Review review = new Review(nowMicros, state);
    members.forEach(review::add);
    return review.conclude(stateIndex);
  }

  /** Evaluates one read: collects the blocking members and the resulting actions. */
  private final class Review {

    private final long nowMicros;
    private final RolloutState state;
    private final boolean advanceWanted;
    private final boolean wasBlind;
    private final long suspectAfterMicros;
    private final Map<String, Sighting> seen = new TreeMap<>();
    private final List<Action> wantedActions = new ArrayList<>();
    private final List<String> blocking = new ArrayList<>();
    private long nextReadAtMicros = NEVER;

    private Review(long nowMicros, RolloutState state) {
      this.nowMicros = nowMicros;
      this.state = state;
      advanceWanted = state.stage() != state.target();
      // The coordination store may have been unreachable for the members too, so an interval in
      // which this leader read nothing does not count as missing renewals.
      wasBlind = nowMicros - lastReadAtMicros > timings.suspectAfterMicros() / 2;
      suspectAfterMicros =
          timings.suspectAfterMicros() * (advanceWanted ? 1 : IDLE_SUSPICION_FACTOR);
    }

    private void add(String memberKey, VersionedMember read) {
      Sighting sighting = sighting(memberKey, read);
      seen.put(memberKey, sighting);
      if (read.member().revoked()) {
        addRevoked(memberKey, sighting);
      } else {
        addActive(memberKey, read, sighting);
      }
    }

    /** Returns the earlier observation if the key is unchanged, else a new one as of now. */
    private Sighting sighting(String memberKey, VersionedMember read) {
      Sighting before = sightings.get(memberKey);
      boolean revoked = read.member().revoked();
      if (before != null && before.index() == read.index() && (revoked || !wasBlind)) {
        return before;
      }
      boolean countsFromBefore = revoked && disabledRules.contains(SafetyRule.OWN_OBSERVATION);
      return new Sighting(
          read.index(), countsFromBefore ? nowMicros - leaseExpiryMicros() : nowMicros);
    }

    /** A revoked member blocks an advance until its lease must have expired; then it is removed. */
    private void addRevoked(String memberKey, Sighting sighting) {
      long expiresAtMicros = sighting.sinceMicros() + leaseExpiryMicros();
      if (nowMicros >= expiresAtMicros) {
        wantedActions.add(new RemoveMember(memberKey, sighting.index()));
      } else {
        blocking.add(memberKey);
        nextReadAtMicros = Math.min(nextReadAtMicros, expiresAtMicros);
      }
    }

    /** An active member blocks an advance until it acknowledges the epoch or is revoked. */
    private void addActive(String memberKey, VersionedMember read, Sighting sighting) {
      boolean blocks =
          advanceWanted
              && read.member().epoch() != state.epoch()
              && !disabledRules.contains(SafetyRule.ALL_MEMBERS_ACKNOWLEDGED);
      if (blocks) {
        blocking.add(memberKey);
      }
      if (nowMicros - sighting.sinceMicros() < suspectAfterMicros) {
        nextReadAtMicros = Math.min(nextReadAtMicros, sighting.sinceMicros() + suspectAfterMicros);
      } else if (!advanceWanted || blocks) {
        wantedActions.add(new Revoke(memberKey, read.index(), read.member().asRevoked()));
      }
    }

    private RolloutLeader conclude(long stateIndex) {
      if (advanceWanted && blocking.isEmpty()) {
        wantedActions.add(0, new Advance(stateIndex, state.next()));
      }
      return new RolloutLeader(
          timings,
          disabledRules,
          seen,
          wantedActions,
          advanceWanted ? blocking : List.of(),
          nowMicros,
          nextReadAtMicros);
    }
  }

  /** The wait after observing a revocation until no lease or operation of the member can remain. */
  private long leaseExpiryMicros() {
    if (disabledRules.contains(SafetyRule.REVOKED_LEASE_EXPIRY)) {
      return 0;
    }
    return disabledRules.contains(SafetyRule.CLOCK_DRIFT)
        ? timings.leaseMicros() + timings.operationMicros()
        : timings.leaseExpiryBoundMicros();
  }

  /**
   * Encodes all state that affects future behaviour, with times relative to now. Leaders with equal
   * fingerprints behave identically.
   */
  String fingerprint(long nowMicros) {
    long greatestAgeMicros =
        Math.max(timings.suspectAfterMicros(), timings.leaseExpiryBoundMicros());
    StringBuilder text = new StringBuilder();
    sightings.forEach(
        (memberKey, sighting) ->
            text.append(memberKey)
                .append(sighting.index())
                .append('@')
                .append(Math.min(nowMicros - sighting.sinceMicros(), greatestAgeMicros))
                .append(' '));
    return text.append(actions)
        .append(Math.min(nowMicros - lastReadAtMicros, timings.suspectAfterMicros()))
        .toString();
  }
}

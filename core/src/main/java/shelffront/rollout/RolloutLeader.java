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
  private record Observation(long index, long sinceMicros) {}

  /**
   * Multiplies the suspicion timeout while no advance is pending: members that are gone block
   * nothing then, and their removal can wait.
   */
  private static final int IDLE_SUSPICION_FACTOR = 10;

  /** Time of the last read before the first one; halved so that subtracting it cannot overflow. */
  private static final long BEFORE_FIRST_READ_MICROS = Long.MIN_VALUE / 2;

  private static final long NO_READ_DUE = Long.MAX_VALUE;

  private final LeaseTimings timings;
  private final Set<SafetyRule> disabledRules;
  private final Map<String, Observation> observations;
  private final List<Action> actions;
  private final List<String> blockingMembers;
  private final long lastReadAtMicros;
  private final long nextReadAtMicros;

  private RolloutLeader(
      LeaseTimings timings,
      Set<SafetyRule> disabledRules,
      Map<String, Observation> observations,
      List<Action> actions,
      List<String> blockingMembers,
      long lastReadAtMicros,
      long nextReadAtMicros) {
    this.timings = timings;
    this.disabledRules = disabledRules;
    this.observations = observations;
    this.actions = actions;
    this.blockingMembers = blockingMembers;
    this.lastReadAtMicros = lastReadAtMicros;
    this.nextReadAtMicros = nextReadAtMicros;
  }

  /** Returns a leader that has not read the coordination store. */
  public static RolloutLeader initial(LeaseTimings timings) {
    return initial(timings, EnumSet.noneOf(SafetyRule.class));
  }

  static RolloutLeader initial(LeaseTimings timings, Set<SafetyRule> disabledRules) {
    return new RolloutLeader(
        timings,
        disabledRules,
        Map.of(),
        List.of(),
        List.of(),
        BEFORE_FIRST_READ_MICROS,
        NO_READ_DUE);
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
  public long nextReadAtMicros() {
    return nextReadAtMicros;
  }

  /** Returns a copy without actions, for use once they were performed or abandoned. */
  public RolloutLeader withoutActions() {
    return new RolloutLeader(
        timings,
        disabledRules,
        observations,
        List.of(),
        blockingMembers,
        lastReadAtMicros,
        nextReadAtMicros);
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
    members.forEach(review::evaluate);
    return review.finish(stateIndex);
  }

  /** Evaluates one read: collects the blocking members and the resulting actions. */
  private final class Review {

    private final long nowMicros;
    private final RolloutState state;
    private final boolean isAdvancePending;
    private final boolean hadReadGap;
    private final long suspectAfterMicros;
    private final Map<String, Observation> newObservations = new TreeMap<>();
    private final List<Action> dueActions = new ArrayList<>();
    private final List<String> blocking = new ArrayList<>();
    private long earliestReadAtMicros = NO_READ_DUE;

    private Review(long nowMicros, RolloutState state) {
      this.nowMicros = nowMicros;
      this.state = state;
      isAdvancePending = state.stage() != state.target();
      // The coordination store may have been unreachable for the members too, so an interval in
      // which this leader read nothing does not count as missing renewals.
      hadReadGap = nowMicros - lastReadAtMicros > timings.suspectAfterMicros() / 2;
      suspectAfterMicros =
          timings.suspectAfterMicros() * (isAdvancePending ? 1 : IDLE_SUSPICION_FACTOR);
    }

    private void evaluate(String memberKey, VersionedMember read) {
      Observation observation = observation(memberKey, read);
      newObservations.put(memberKey, observation);
      if (read.member().revoked()) {
        evaluateRevoked(memberKey, observation);
      } else {
        evaluateActive(memberKey, read, observation);
      }
    }

    /** Returns the earlier observation if the key is unchanged, else a new one as of now. */
    private Observation observation(String memberKey, VersionedMember read) {
      Observation before = observations.get(memberKey);
      boolean revoked = read.member().revoked();
      if (before != null && before.index() == read.index() && (revoked || !hadReadGap)) {
        return before;
      }
      boolean countsAsExpired = revoked && disabledRules.contains(SafetyRule.OWN_OBSERVATION);
      return new Observation(
          read.index(), countsAsExpired ? nowMicros - leaseExpiryMicros() : nowMicros);
    }

    /** A revoked member blocks an advance until its lease must have expired; then it is removed. */
    private void evaluateRevoked(String memberKey, Observation observation) {
      long expiresAtMicros = observation.sinceMicros() + leaseExpiryMicros();
      if (nowMicros >= expiresAtMicros) {
        dueActions.add(new RemoveMember(memberKey, observation.index()));
      } else {
        blocking.add(memberKey);
        earliestReadAtMicros = Math.min(earliestReadAtMicros, expiresAtMicros);
      }
    }

    /** An active member blocks an advance until it acknowledges the epoch or is revoked. */
    private void evaluateActive(String memberKey, VersionedMember read, Observation observation) {
      boolean blocks =
          isAdvancePending
              && read.member().epoch() != state.epoch()
              && !disabledRules.contains(SafetyRule.ALL_MEMBERS_ACKNOWLEDGED);
      if (blocks) {
        blocking.add(memberKey);
      }
      if (nowMicros - observation.sinceMicros() < suspectAfterMicros) {
        earliestReadAtMicros =
            Math.min(earliestReadAtMicros, observation.sinceMicros() + suspectAfterMicros);
      } else if (!isAdvancePending || blocks) {
        dueActions.add(new Revoke(memberKey, read.index(), read.member().asRevoked()));
      }
    }

    private RolloutLeader finish(long stateIndex) {
      if (isAdvancePending && blocking.isEmpty()) {
        dueActions.add(0, new Advance(stateIndex, state.next()));
      }
      return new RolloutLeader(
          timings,
          disabledRules,
          newObservations,
          dueActions,
          isAdvancePending ? blocking : List.of(),
          nowMicros,
          earliestReadAtMicros);
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
    observations.forEach(
        (memberKey, observation) ->
            text.append(memberKey)
                .append(observation.index())
                .append('@')
                .append(Math.min(nowMicros - observation.sinceMicros(), greatestAgeMicros))
                .append(' '));
    return text.append(actions)
        .append(Math.min(nowMicros - lastReadAtMicros, timings.suspectAfterMicros()))
        .toString();
  }
}

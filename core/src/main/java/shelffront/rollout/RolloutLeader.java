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
 * <p>Invariants: it advances only where each member has acknowledged the state that was read, or
 * was seen revoked by this leader itself for longer than any lease can last. Any gateway may lead,
 * several at once by mistake too: each write names the index that it replaces, so of two only one
 * is taken.
 *
 * <p>A value: a read of the coordination store gives the next one, so any thread may read it. Times
 * are microseconds of the leader's own monotonic clock.
 */
public final class RolloutLeader {

  /** A member as it was read. */
  public record VersionedMember(Member member, long index) {}

  /**
   * What it wants done at the coordination store, in this order; each only where the key still has
   * the index.
   */
  public sealed interface Action {}

  /** Advance the subject to its next stage. */
  public record Advance(long expectedIndex, RolloutState newState) implements Action {}

  /** End a membership that holds up an advance. */
  public record Revoke(String memberKey, long expectedIndex, Member revoked) implements Action {}

  /** Remove the key of a revoked member whose lease has expired for certain. */
  public record RemoveMember(String memberKey, long expectedIndex) implements Action {}

  /** Since when a member's key has had the same index, by the leader's clock. */
  private record Sighting(long index, long sinceMicros) {}

  /**
   * Of the time after which a member is suspected: where no advance is wanted, members that are
   * gone are removed only in the end.
   */
  private static final int IDLE_SUSPICION_FACTOR = 10;

  /** Before its first read; halved, so that a difference to it does not overflow. */
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

  /** One that has read nothing yet. */
  public static RolloutLeader fresh(LeaseTimings timings) {
    return fresh(timings, EnumSet.noneOf(SafetyRule.class));
  }

  static RolloutLeader fresh(LeaseTimings timings, Set<SafetyRule> disabledRules) {
    return new RolloutLeader(
        timings, disabledRules, Map.of(), List.of(), List.of(), LONG_AGO, NEVER);
  }

  public List<Action> actions() {
    return actions;
  }

  /**
   * Keys of the members that an advance waits for; empty where none is wanted or nothing blocks it.
   */
  public List<String> blockingMembers() {
    return blockingMembers;
  }

  /** When to read again even if nothing changes; the greatest number: not before something does. */
  public long wakeAt() {
    return wakeAtMicros;
  }

  /** The same, its actions done or given up. */
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
   * Takes in a read of the coordination store: of the state first, then of the members. The order
   * is what keeps it safe: whoever joined after the members were read has read the state later
   * still.
   *
   * @param nowMicros when the answer came
   */
  public RolloutLeader onRead(
      long nowMicros, RolloutState state, long stateIndex, Map<String, VersionedMember> members) {
    Review review = new Review(nowMicros, state);
    members.forEach(review::add);
    return review.conclude(stateIndex);
  }

  /** One pass over the members that were read, and what follows from it. */
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
      // Members are not blamed for a time in which nobody reached the store: they renew as it comes
      // back.
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

    /** The sighting before, where the key has not changed since; else one from now on. */
    private Sighting sighting(String memberKey, VersionedMember read) {
      Sighting before = sightings.get(memberKey);
      boolean revoked = read.member().revoked();
      if (before != null && before.index() == read.index() && (revoked || !wasBlind)) {
        return before;
      }
      boolean countsFromBefore = revoked && disabledRules.contains(SafetyRule.OWN_LAPSE);
      return new Sighting(
          read.index(), countsFromBefore ? nowMicros - leaseExpiryMicros() : nowMicros);
    }

    /** Blocks an advance until its lease has expired for certain, then is removed. */
    private void addRevoked(String memberKey, Sighting sighting) {
      long expiresAtMicros = sighting.sinceMicros() + leaseExpiryMicros();
      if (nowMicros >= expiresAtMicros) {
        wantedActions.add(new RemoveMember(memberKey, sighting.index()));
      } else {
        blocking.add(memberKey);
        nextReadAtMicros = Math.min(nextReadAtMicros, expiresAtMicros);
      }
    }

    /** Blocks an advance until it acknowledges; revoked once it has not renewed for too long. */
    private void addActive(String memberKey, VersionedMember read, Sighting sighting) {
      boolean blocks =
          advanceWanted
              && read.member().epoch() != state.epoch()
              && !disabledRules.contains(SafetyRule.ACKNOWLEDGED);
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

  /** From when a member was seen revoked until nothing of it can still be in force. */
  private long leaseExpiryMicros() {
    if (disabledRules.contains(SafetyRule.LAPSE)) {
      return 0;
    }
    return disabledRules.contains(SafetyRule.DRIFT)
        ? timings.leaseMicros() + timings.operationMicros()
        : timings.leaseExpiryBoundMicros();
  }

  /** Everything that its behaviour depends on, with times relative to now. */
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

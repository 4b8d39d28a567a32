package shelffront.rollout;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Decides when a subject moves on. Any gateway may be owner, several at once by mistake too: each
 * write names the index that it replaces, so of two only one is taken. A value; a look at the
 * engine gives the next one.
 */
public final class RolloutLeader {

  /** A member as it was read. */
  public record VersionedMember(Member member, long index) {}

  /**
   * What it wants done at the engine, in this order; each only where the key still has the index.
   */
  public sealed interface Action {}

  /** Move the subject on. */
  public record Advance(long expectedIndex, RolloutState newState) implements Action {}

  /** Put an end to a membership that holds up a move. */
  public record Revoke(String memberKey, long expectedIndex, Member revoked) implements Action {}

  /** Take away the mark of one whose lease has lapsed for sure. */
  public record RemoveMember(String memberKey, long expectedIndex) implements Action {}

  /** Since when a member's key has had the same index, by the owner's clock. */
  private record Since(long index, long at) {}

  /** Where no move waits, members that are gone are only taken away in the end. */
  private static final int IDLE_PATIENCE = 10;

  private final LeaseTimings bounds;
  private final Set<SafetyRule> off;
  private final Map<String, Since> since;
  private final List<Action> actions;
  private final List<String> waitsFor;
  private final long lookedAt;
  private final long wakeAt;

  private RolloutLeader(
      LeaseTimings bounds,
      Set<SafetyRule> off,
      Map<String, Since> since,
      List<Action> actions,
      List<String> waitsFor,
      long lookedAt,
      long wakeAt) {
    this.bounds = bounds;
    this.off = off;
    this.since = since;
    this.actions = actions;
    this.waitsFor = waitsFor;
    this.lookedAt = lookedAt;
    this.wakeAt = wakeAt;
  }

  /** One that has seen nothing yet. */
  public static RolloutLeader fresh(LeaseTimings bounds) {
    return fresh(bounds, EnumSet.noneOf(SafetyRule.class));
  }

  static RolloutLeader fresh(LeaseTimings bounds, Set<SafetyRule> off) {
    return new RolloutLeader(
        bounds, off, Map.of(), List.of(), List.of(), Long.MIN_VALUE / 2, Long.MAX_VALUE);
  }

  public List<Action> actions() {
    return actions;
  }

  /**
   * Keys of the members that a move waits for; empty where none is wanted or nothing holds it up.
   */
  public List<String> blockingMembers() {
    return waitsFor;
  }

  /** When to look again even if nothing changes; the greatest number: not before something does. */
  public long wakeAt() {
    return wakeAt;
  }

  /** The same, its actions done or given up. */
  public RolloutLeader withoutActions() {
    return new RolloutLeader(bounds, off, since, List.of(), waitsFor, lookedAt, wakeAt);
  }

  /**
   * Looked at the engine: at the standing first, then at the members. The order is what keeps it
   * safe: whoever joined after the members were read has read the standing later still.
   *
   * @param now when the answer came
   */
  public RolloutLeader onRead(
      long now, RolloutState standing, long index, Map<String, VersionedMember> members) {
    Map<String, Since> known = new TreeMap<>();
    List<Action> next = new ArrayList<>();
    List<String> waits = new ArrayList<>();
    boolean wanted = standing.stage() != standing.target();
    // Guards against blaming members for a time in which nobody reached the engine: they renew as
    // it comes back.
    boolean blind = now - lookedAt > bounds.suspectAfterMicros() / 2;
    long patience = bounds.suspectAfterMicros() * (wanted ? 1 : IDLE_PATIENCE);
    long wake = Long.MAX_VALUE;
    for (Map.Entry<String, VersionedMember> each : members.entrySet()) {
      VersionedMember seen = each.getValue();
      Since before = since.get(each.getKey());
      boolean revoked = seen.member().revoked();
      boolean same = before != null && before.index() == seen.index() && (revoked || !blind);
      Since here =
          same
              ? before
              : new Since(
                  seen.index(),
                  revoked && off.contains(SafetyRule.OWN_LAPSE) ? now - lapse() : now);
      known.put(each.getKey(), here);
      if (revoked) {
        long until = here.at() + lapse();
        if (now >= until) {
          next.add(new RemoveMember(each.getKey(), seen.index()));
        } else {
          waits.add(each.getKey());
          wake = Math.min(wake, until);
        }
        continue;
      }
      if (wanted
          && seen.member().epoch() != standing.epoch()
          && !off.contains(SafetyRule.ACKNOWLEDGED)) {
        waits.add(each.getKey());
      }
      if (now - here.at() < patience) {
        wake = Math.min(wake, here.at() + patience);
      } else if (!wanted || waits.contains(each.getKey())) {
        next.add(new Revoke(each.getKey(), seen.index(), seen.member().asRevoked()));
      }
    }
    if (wanted && waits.isEmpty()) {
      next.add(0, new Advance(index, standing.next()));
    }
    return new RolloutLeader(bounds, off, known, next, wanted ? waits : List.of(), now, wake);
  }

  private long lapse() {
    return off.contains(SafetyRule.LAPSE)
        ? 0
        : off.contains(SafetyRule.DRIFT)
            ? bounds.leaseMicros() + bounds.operationMicros()
            : bounds.leaseExpiryBoundMicros();
  }

  /** Everything that its behaviour depends on, with times relative to now. */
  String shape(long now) {
    StringBuilder text = new StringBuilder();
    since.forEach(
        (key, s) ->
            text.append(key)
                .append(s.index())
                .append('@')
                .append(
                    Math.min(
                        now - s.at(),
                        Math.max(bounds.suspectAfterMicros(), bounds.leaseExpiryBoundMicros())))
                .append(' '));
    return text.append(actions)
        .append(Math.min(now - lookedAt, bounds.suspectAfterMicros()))
        .toString();
  }
}

package shelffront.decision;

import java.util.List;
import shelffront.routing.Consistency;

/** The ordinary path: the member that a request goes to, or none yet. */
record EndpointSelector(RoutingState state, OutlierDetector health, ReplicaPositions positions) {

  static final long HOLD = 50_000; // Longest wait for a replica that covers (design).
  static final long SCOUT_PAUSE = 100_000; // After a round of misses; an election takes seconds.
  static final double IN_TIME = 1.2; // Usual answer times that an attempt must have left.
  static final double PRIMARY_SHARE = 0.3; // Of its places, for reads without need of it (design).
  static final double FOREIGN = 1.5; // Cost of a member that other instances prefer.
  static final double UNCONNECTED = 1.5; // Cost of a member to which no connection is open.

  EndpointState choose(PendingRequest p) {
    Consistency read = p.type.consistency();
    if (p.type.requiresPrimary()) {
      return choosePrimary(p);
    }
    EndpointState n = cheapest(p, p.need(state.now));
    boolean waited = p.missed || state.now >= p.arrival + HOLD || read == Consistency.EVENTUAL;
    return n == null && waited ? fallback(p, read == Consistency.SESSION ? 1 : PRIMARY_SHARE) : n;
  }

  /** The replica with the shortest expected answer among those that suit; null when none does. */
  EndpointState cheapest(PendingRequest p, long need) {
    List<String> own = health.membership().own(p.group);
    EndpointState best = null;
    double bestCost = Double.MAX_VALUE;
    for (EndpointState n : p.group.nodes.values()) {
      if (n == p.group.primary || p.tried(n) || !fits(n, p, 1) || !positions.covers(n, need)) {
        continue;
      }
      double cost =
          health.slow(n)
              * (n.out.size() + 1)
              / n.size()
              * (0.95 + 0.1 * state.random.nextDouble())
              * (own.contains(n.id) ? 1 : FOREIGN)
              * (state.now < n.connectedUntil ? 1 : state.now < state.dearUntil ? 4 : UNCONNECTED)
              * (n.entry.zone().equals(state.settings.gateway().zone())
                  ? 1
                  : 1 + 5 * state.settings.crossZoneCost());
      if (cost < bestCost) {
        best = n;
        bestCost = cost;
      }
    }
    return best;
  }

  /**
   * The primary for a read that no replica takes, within a share of its room while it answers as
   * usual.
   */
  EndpointState fallback(PendingRequest p, double share) {
    EndpointState n = p.group.primary;
    boolean spare =
        n != null && (share >= 1 || n.answers.latencyOverObjective() < OutlierDetector.FULL_LOAD);
    return spare && fits(n, p, share) ? n : null;
  }

  boolean fits(EndpointState n, PendingRequest p, double share) {
    return health.healthy(n, p) && health.hasRoom(n, share) && inTime(n, p);
  }

  /**
   * The primary as last told; without one, a single write at a time tries the members in id order.
   */
  EndpointState choosePrimary(PendingRequest p) {
    ReplicaSet g = p.group;
    if (g.primary != null) {
      return fits(g.primary, p, 1) ? g.primary : null;
    }
    if (g.scout != null && g.scout.open && g.scout != p && g.scout.outstanding() > 0
        || state.now < g.scoutAfter
        || !p.type.isWrite()
        || p.attempts.size() + 2 > state.settings.limits().maxAttempts()) {
      return null;
    }
    String next = g.scouted;
    for (int i = 0; i < g.nodes.size(); i++) {
      next = g.nodes.higherKey(next);
      if (next == null) {
        g.scouted = "";
        g.scoutAfter = state.now + SCOUT_PAUSE;
        state.at(null, g.scoutAfter, () -> state.changed.accept(g));
        return null;
      }
      if (health.healthy(g.nodes.get(next), p)) {
        g.scouted = next;
        g.scout = p;
        return g.nodes.get(next);
      }
    }
    return null;
  }

  /** Whether the member is expected to answer in time; else the try is not worth its work. */
  boolean inTime(EndpointState n, PendingRequest p) {
    double usually = state.usual(p) * health.slow(n);
    double takes =
        Math.max(IN_TIME * usually, Math.min(2 * usually, p.type.latencyObjectiveMicros() / 2.0));
    return state.now + takes < p.usefulUntil();
  }
}

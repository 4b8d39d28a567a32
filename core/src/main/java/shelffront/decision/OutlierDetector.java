package shelffront.decision;

import static shelffront.routing.Router.UNKNOWN;

import shelffront.routing.AttemptOutcome;
import shelffront.routing.AttemptStatus;
import shelffront.routing.RequestClass;

/** Whether a member may be tried, and how much at a time: what its answers and its silence say. */
record OutlierDetector(
    RoutingState state,
    AttemptAdmission guards,
    EndpointRegistry membership,
    ReplicaPositions positions) {

  static final double SILENT_WAITS =
      8; // Usual answer times that the waits at a silent member add up to.
  static final long HICCUP = 25_000; // Less tells nothing: a collection, a busy core.
  static final long BAN = 300_000; // The first; doubles with each failure up to the greatest.
  static final long BAN_MOST = 2_400_000;
  static final long PAUSE = 40_000; // First one after a refused connection or failed probe.
  static final int BREAKS = 2; // Lost connections in a row that tell nothing of a member.
  static final long SCARCE = 20_000_000; // Connections stay scarce after a refused one.
  static final double FULL_LOAD =
      0.4; // Answer time by the aim, above which a member is given less.
  static final double MOST_SLOW = 10; // Usual answer times that one answer counts at most.

  /** Whether a member may be tried: listed, not banned, not silent, one at a time on trial. */
  boolean healthy(EndpointState n, PendingRequest p) {
    if (!n.open
        || state.now < n.bannedUntil
        || n.onTrial && (!n.out.isEmpty() || p.type.isNonIdempotent())) {
      return false;
    }
    if (silent(n)) {
      ban(n, "is silent");
      return false;
    }
    return guards.withinColdBudget(p, n);
  }

  boolean silent(EndpointState n) {
    double waits = 0;
    long since = state.now;
    for (Attempt a : n.out) {
      if (!a.overtaken()) {
        waits += (state.now - Math.max(n.answeredAt, a.sentAt)) / state.usual(a.request);
        since = Math.min(since, Math.max(n.answeredAt, a.sentAt));
      }
    }
    return state.now - since >= Math.max(HICCUP, n.answers.latencyMicros() / 2)
        && waits > SILENT_WAITS * Math.max(1, Math.min(3, slow(n)));
  }

  void ban(EndpointState n, String why) {
    n.bannedUntil = state.now + Math.min(BAN_MOST, BAN << Math.min(5, n.failures));
    n.onTrial = true;
    n.limit.halve();
    pause(n, why);
  }

  /** Leaves a member out for a moment that doubles with each failure in a row. */
  void pause(EndpointState n, String why) {
    long pause = Math.min(BAN_MOST, PAUSE << Math.min(6, n.failures++));
    n.bannedUntil = Math.max(n.bannedUntil, state.now + pause);
    state.note(n.id + " " + why);
    state.at(null, n.bannedUntil, () -> state.changed.accept(n.group));
  }

  /** Whether a member may get one more now. */
  boolean hasRoom(EndpointState n, double share) {
    return n.limit.hasCapacity(
        state.now, guards.warmth(n) * share, n.out.size(), n.sentAt, n.answers.latencyMicros());
  }

  /** What an outcome says about the member's health and load. */
  void judge(Attempt a, AttemptOutcome o) {
    EndpointState n = a.node;
    RequestClass type = a.request.type;
    int c = a.request.request.classIndex();
    if (o.status() == AttemptStatus.CAPACITY_EXCEEDED) {
      n.answeredAt = state.now;
      slowness(n, MOST_SLOW);
    }
    switch (o.status()) {
      case OK -> {
        n.servedTo = Math.max(n.servedTo, a.sentAt);
        positions.proved(a);
        double took = Math.max(1, o.elapsedMicros());
        state.usual[c] += 0.03 * (Math.min(took, 4 * state.usual[c]) - state.usual[c]);
        slowness(n, took / state.usual[c]);
        alive(n);
        weigh(n, took, type);
        if (n.answers.latencyOverObjective() <= FULL_LOAD) {
          n.limit.increase(n.out.size());
        }
      }
      case REPLICA_UNSUITABLE -> alive(n);
      case CAPACITY_EXCEEDED -> n.limit.decrease(state.now, n.answers.latencyMicros(), 0.7);
      case TIMEOUT, CANCELLED -> {
        if (!a.overtaken()) { // else its connection is lost, and says nothing of the member
          slowness(n, (state.now - a.sentAt) / state.usual[c]);
          weigh(n, Math.max(state.now - a.sentAt, n.answers.latencyMicros()), type);
        }
      }
      // Thin proof of a dead member: one that is well loses connections too. It is probed; after
      // some,
      // or one that takes too long, it is left out for a moment. Refused at once, its table may be
      // full
      // and idle ones are given back for a while; where setting up takes too long, they are kept.
      case CONNECT_FAILED, RESET -> {
        n.connectedUntil = UNKNOWN;
        boolean unmade = o.status() == AttemptStatus.CONNECT_FAILED;
        boolean dear =
            unmade && o.elapsedMicros() > state.settings.limits().connectTimeoutMicros() / 2;
        state.dearUntil = dear ? state.now + SCARCE : state.dearUntil;
        if (dear || ++n.breaks > BREAKS) {
          n.scarceUntil = unmade && !dear ? state.now + SCARCE : UNKNOWN;
          pause(n, "does not accept connections");
        }
        if (!n.probing) {
          membership.probe(n);
        }
      }
      default -> {}
    }
  }

  /** Takes an answer time, or how long one has been waited for, into the member's load. */
  void weigh(EndpointState n, double took, RequestClass type) {
    n.answers.record(state.now, took, type.latencyObjectiveMicros());
    if (n.answers.latencyOverObjective() > FULL_LOAD) {
      n.limit.decrease(state.now, n.answers.latencyMicros(), 0.85);
    }
  }

  void slowness(EndpointState n, double ratio) {
    n.slow.record(state.now, Math.min(ratio, MOST_SLOW));
    n.group.slow.record(state.now, Math.min(ratio, MOST_SLOW));
  }

  /**
   * Expected answer time over the usual one: few answers of a member are drawn to those of its
   * group.
   */
  double slow(EndpointState n) {
    return n.slow.mean(state.now, n.group.slow.mean(state.now, 1, 1), 3);
  }

  void alive(EndpointState n) {
    n.answeredAt = state.now;
    n.failures = 0;
    n.breaks = 0;
    n.onTrial = false;
    n.unreachable = false;
    n.bannedUntil = UNKNOWN;
  }
}

package shelffront.decision;

import static shelffront.routing.Router.UNKNOWN;

import shelffront.routing.Consistency;
import shelffront.routing.LagCheck;
import shelffront.routing.LoadReport;
import shelffront.routing.Request;
import shelffront.routing.Role;

/**
 * What is known of how far each member has applied the log, of who is primary, and of sessions'
 * writes.
 */
record ReplicaPositions(RoutingState state) {

  /** Position that a request of a session must see; UNKNOWN where there is none. */
  long token(Request request) {
    if (state.settings.requestClasses().get(request.classIndex()).consistency()
        != Consistency.SESSION) {
      return UNKNOWN;
    }
    return Math.max(
        state.sessions.requiredPosition(request.sessionId(), request.replicaSet()),
        request.requiredPositionMicros());
  }

  /**
   * Whether a replica is known to have the position, or may be trusted to where it checks itself.
   */
  boolean covers(EndpointState n, long need) {
    if (need == UNKNOWN || state.settings.consistency().lagCheck() == LagCheck.NONE) {
      return need == UNKNOWN || n.progress.hasApplied(need);
    }
    long patience =
        state.settings.consistency().lagCheck() == LagCheck.WAIT
            ? state.settings.consistency().lagWaitMicros() / 2
            : 0;
    return n.progress.mayHaveApplied(state.now, need, patience);
  }

  /**
   * Takes a word on a member's role that held at the given time; words older than the newest count
   * not.
   */
  void told(EndpointState n, Role role, long asOf) {
    ReplicaSet g = n.group;
    if (asOf < g.primaryAt || role == Role.UNKNOWN || g.primary == n == (role == Role.PRIMARY)) {
      return;
    }
    if (role == Role.PRIMARY) {
      g.primary = n;
      g.own = null;
      g.primaryAt = asOf;
      g.scouted = "";
      state.note("primary of group " + n.entry.replicaSet() + " is " + n.id);
    } else if (g.primary == n) {
      g.primary = null;
      g.own = null;
      g.primaryAt = asOf;
      g.scouted = n.id;
      state.note("group " + n.entry.replicaSet() + " has no known primary");
    }
  }

  void hear(EndpointState n, LoadReport load) {
    if (load != null && load.positionMicros() != UNKNOWN) {
      n.progress.advance(state.now, load.positionMicros());
      told(n, load.role(), Math.min(load.positionMicros(), state.now));
    }
  }

  /**
   * An OK of a replica that refuses what it lacks proves the position needed; it keeps its pace.
   * Guards against late reports, by which replicas that keep up look behind until no read goes to
   * them.
   */
  void proved(Attempt a) {
    if (state.settings.consistency().lagCheck() != LagCheck.NONE) {
      a.node.progress.recordProvenPosition(a.sentAt, a.need);
    }
  }
}

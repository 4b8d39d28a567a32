package shelffront.decide;

import static shelffront.route.Router.UNKNOWN;

import shelffront.route.Router.LagCheck;
import shelffront.route.Router.Load;
import shelffront.route.Router.Read;
import shelffront.route.Router.Request;
import shelffront.route.Router.Role;

/**
 * What is known of how far each member has applied the log, of who is primary, and of sessions'
 * writes.
 */
record Positions(State state) {

  /** Position that a request of a session must see; UNKNOWN where there is none. */
  long token(Request request) {
    if (state.settings.classes().get(request.classIndex()).read() != Read.SESSION) {
      return UNKNOWN;
    }
    return Math.max(state.sessions.of(request.session(), request.group()), request.after());
  }

  /**
   * Whether a replica is known to have the position, or may be trusted to where it checks itself.
   */
  boolean covers(Node n, long need) {
    if (need == UNKNOWN || state.settings.check() == LagCheck.NONE) {
      return need == UNKNOWN || n.progress.has(need);
    }
    long patience = state.settings.check() == LagCheck.WAIT ? state.settings.hold() / 2 : 0;
    return n.progress.mayHave(state.now, need, patience);
  }

  /**
   * Takes a word on a member's role that held at the given time; words older than the newest count
   * not.
   */
  void told(Node n, Role role, long asOf) {
    Group g = n.group;
    if (asOf < g.primaryAt || role == Role.UNKNOWN || g.primary == n == (role == Role.PRIMARY)) {
      return;
    }
    if (role == Role.PRIMARY) {
      g.primary = n;
      g.own = null;
      g.primaryAt = asOf;
      g.scouted = "";
      state.note("primary of group " + n.entry.group() + " is " + n.id);
    } else if (g.primary == n) {
      g.primary = null;
      g.own = null;
      g.primaryAt = asOf;
      g.scouted = n.id;
      state.note("group " + n.entry.group() + " has no known primary");
    }
  }

  void hear(Node n, Load load) {
    if (load != null && load.position() != UNKNOWN) {
      n.progress.advance(state.now, load.position());
      told(n, load.role(), Math.min(load.position(), state.now));
    }
  }

  /**
   * An OK of a replica that refuses what it lacks proves the position needed; it keeps its pace.
   * Guards against late reports, by which replicas that keep up look behind until no read goes to
   * them.
   */
  void proved(Attempt a) {
    if (state.settings.check() != LagCheck.NONE) {
      a.node.progress.proved(a.sentAt, a.need);
    }
  }
}

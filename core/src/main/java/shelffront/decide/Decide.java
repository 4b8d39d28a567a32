package shelffront.decide;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import shelffront.fleet.ProbeAllowance;
import shelffront.marks.Progress;
import shelffront.route.Router;

/**
 * All decisions of shelffront. The interface, with every type, event and action, is Router.java;
 * this class takes the events and hands each to the part of the module whose concern it is.
 *
 * <p>In one sentence: a session's read goes to a replica known to have applied the session's last
 * write, after a short bounded wait, else to the primary. What cannot be sent yet is held in its
 * group and looked at again when something in the group changes; a timer covers every held request.
 * All times are microseconds.
 */
public final class Decide implements Router {

  final State state;
  private final Positions positions;
  private final Membership membership;
  private final Health health;
  private final Queue queue;
  private int listFailures;

  public Decide(Actions actions) {
    state = new State(actions);
    positions = new Positions(state);
    Guards guards = new Guards(state);
    membership = new Membership(state);
    health = new Health(state, guards, membership, positions);
    queue = new Queue(state, new Choice(state, health, positions), guards, membership, health);
    state.changed = queue::release;
  }

  @Override
  public void onStart(long time, long seed, Settings given) {
    state.now = time;
    state.settings = given;
    state.random = new Random(seed);
    state.probes = new ProbeAllowance(given.probePrice(), given.routers());
    state.usual = new double[given.classes().size()];
    for (int i = 0; i < state.usual.length; i++) {
      state.usual[i] = given.classes().get(i).aim() / 4.0;
    }
    if (given.listAsked()) {
      state.actions.subscribe(true);
    }
    tend();
  }

  @Override
  public void onMembers(long time, ListKind kind, long version, List<Member> members) {
    state.now = time;
    if (kind == ListKind.FAILED) {
      long wait = Math.min(600_000, 100_000L << Math.min(5, listFailures++));
      state.at(
          null,
          state.now + wait / 2 + state.random.nextInt((int) wait),
          () -> state.actions.subscribe(true));
      return;
    }
    listFailures = 0;
    if (kind != ListKind.CHANGES) {
      List<String> named = members.stream().map(Member::id).toList();
      List.copyOf(state.nodes.values()).stream()
          .filter(n -> !named.contains(n.id))
          .forEach(n -> membership.close(n, true));
    }
    for (Member m : members) {
      if (m.availability() == Availability.LIVE) {
        membership.open(m);
      } else if (state.nodes.containsKey(m.id())) {
        membership.close(state.nodes.get(m.id()), m.availability() == Availability.GONE);
      }
    }
    state.groups.values().forEach(queue::release);
  }

  @Override
  public void onRequest(long time, Request request) {
    state.now = time;
    state.probes.asked();
    ClassSettings type = state.settings.classes().get(request.classIndex());
    Group group = state.group(request.group());
    Pending p = new Pending(request, type, group, positions.token(request), state.now);
    state.pending.put(request.id(), p);
    group.cold.asked(state.now, type.needsPrimary());
    state.at(p, Math.max(state.now, p.deadline - state.settings.tick()), () -> queue.giveUp(p));
    queue.dispatch(p);
  }

  @Override
  public void onOutcome(long time, Outcome o) {
    state.now = time;
    Attempt a = state.attemptsOut.remove(o.requestId() + o.attempt());
    Node node = a != null ? a.node : state.nodes.get(o.member());
    if (node != null) {
      positions.hear(node, o.load());
      positions.told(node, o.role(), state.now);
      if (o.position() != UNKNOWN && o.role() != Role.UNKNOWN) {
        node.progress.advance(time, o.position());
      }
      if (o.status() == Status.MISS) {
        node.progress.missed(time);
      }
    }
    if (a == null) {
      return;
    }
    a.status = o.status();
    a.node.out.remove(a);
    boolean giveBack = state.now < a.node.scarceUntil && a.node.out.isEmpty();
    a.node.connectedUntil =
        giveBack ? UNKNOWN : state.now + state.settings.limits().connectionIdle();
    if (giveBack) {
      state.actions.closeIdle(a.node.id);
    }
    health.judge(a, o);
    Pending p = a.request;
    if (o.status() == Status.OK
        && p.type.writes()
        && p.request.session() != null
        && !state.settings.tokensCarried()) {
      long commit = o.position() == UNKNOWN ? state.now : o.position();
      state.sessions.wrote(p.request.session(), p.request.group(), commit);
    }
    if (o.finished() || o.status() == Status.OK) {
      queue.close(p);
    }
    if (p.open && p.outstanding() == 0) {
      p.missed |= o.status() == Status.MISS && !p.type.writes();
      queue.dispatch(p);
    }
    queue.release(p.group);
  }

  @Override
  public boolean mayStart(long time, String requestId, int attempt) {
    state.now = time;
    Attempt a = state.attemptsOut.get(requestId + attempt);
    return a != null
        && a.request.open
        && a.node.open
        && queue.guards().freshEnough(a.request, a.node)
        && (a.request.mayHaveRun() == a || queue.guards().mayTryAgain(a.request));
  }

  @Override
  public void onProbeResult(long time, String member, Status status, long took, Load load) {
    state.now = time;
    Node node = state.nodes.get(member);
    if (node != null) {
      node.probing = false;
      positions.hear(node, status == Status.OK ? load : null);
      if (status == Status.OK && node.unreachable) {
        health.alive(node);
      } else if (status == Status.OK && state.now >= node.bannedUntil) {
        node.onTrial = false; // else a lone instance could never try it with a once-only write
      } else if (status == Status.TIMEOUT
          || status == Status.CONNECT_FAILED && ++node.breaks > Health.BREAKS) {
        health.pause(node, "does not answer probes");
        node.unreachable = true;
      }
      queue.release(node.group);
    }
  }

  @Override
  public void onMessage(long time, int from, byte[] payload) {
    state.now = time;
  }

  @Override
  public void onTimer(long time, String name) {
    state.now = time;
    state.timers.run(time);
  }

  @Override
  public void onClientGone(long time, String requestId) {
    state.now = time;
    Optional.ofNullable(state.pending.get(requestId)).ifPresent(queue::close);
  }

  private void tend() {
    queue.sort();
    queue.guards().recount();
    for (Group g : state.groups.values()) {
      if (g.held.stream().anyMatch(q -> !q.isEmpty())) {
        membership.wantPositions(g);
        queue.release(g);
      }
    }
    state.at(null, state.now + Progress.OLD / 2, this::tend);
  }
}

package shelffront.decision;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import shelffront.consistency.ReplicationProgress;
import shelffront.fleet.HealthCheckBudget;
import shelffront.routing.AttemptOutcome;
import shelffront.routing.AttemptStatus;
import shelffront.routing.Availability;
import shelffront.routing.Endpoint;
import shelffront.routing.EndpointUpdateKind;
import shelffront.routing.LoadReport;
import shelffront.routing.Request;
import shelffront.routing.RequestClass;
import shelffront.routing.Role;
import shelffront.routing.Router;
import shelffront.routing.RouterActions;
import shelffront.routing.RoutingSettings;

/**
 * All decisions of shelffront. The interface, with every type, event and action, is Router.java;
 * this class takes the events and hands each to the part of the module whose concern it is.
 *
 * <p>In one sentence: a session's read goes to a replica known to have applied the session's last
 * write, after a short bounded wait, else to the primary. What cannot be sent yet is held in its
 * group and looked at again when something in the group changes; a timer covers every held request.
 * All times are microseconds.
 */
public final class RoutingEngine implements Router {

  final RoutingState state;
  private final ReplicaPositions positions;
  private final EndpointRegistry membership;
  private final OutlierDetector health;
  private final RequestScheduler queue;
  private int listFailures;

  public RoutingEngine(RouterActions actions) {
    state = new RoutingState(actions);
    positions = new ReplicaPositions(state);
    AttemptAdmission guards = new AttemptAdmission(state);
    membership = new EndpointRegistry(state);
    health = new OutlierDetector(state, guards, membership, positions);
    queue =
        new RequestScheduler(
            state, new EndpointSelector(state, health, positions), guards, membership, health);
    state.changed = queue::release;
  }

  @Override
  public void onStart(long time, long seed, RoutingSettings given) {
    state.now = time;
    state.settings = given;
    state.random = new Random(seed);
    state.probes = new HealthCheckBudget(given.healthCheckCost(), given.gateway().gatewayCount());
    state.usual = new double[given.requestClasses().size()];
    for (int i = 0; i < state.usual.length; i++) {
      state.usual[i] = given.requestClasses().get(i).latencyObjectiveMicros() / 4.0;
    }
    if (given.endpointList().polled()) {
      state.actions.watchEndpoints(true);
    }
    tend();
  }

  @Override
  public void onEndpoints(
      long time, EndpointUpdateKind kind, long version, List<Endpoint> members) {
    state.now = time;
    if (kind == EndpointUpdateKind.FAILED) {
      long wait = Math.min(600_000, 100_000L << Math.min(5, listFailures++));
      state.at(
          null,
          state.now + wait / 2 + state.random.nextInt((int) wait),
          () -> state.actions.watchEndpoints(true));
      return;
    }
    listFailures = 0;
    if (kind != EndpointUpdateKind.DELTA) {
      List<String> named = members.stream().map(Endpoint::id).toList();
      List.copyOf(state.nodes.values()).stream()
          .filter(n -> !named.contains(n.id))
          .forEach(n -> membership.close(n, true));
    }
    for (Endpoint m : members) {
      if (m.availability() == Availability.READY) {
        membership.open(m);
      } else if (state.nodes.containsKey(m.id())) {
        membership.close(state.nodes.get(m.id()), m.availability() == Availability.REMOVED);
      }
    }
    state.groups.values().forEach(queue::release);
  }

  @Override
  public void onRequest(long time, Request request) {
    state.now = time;
    state.probes.recordRequest();
    RequestClass type = state.settings.requestClasses().get(request.classIndex());
    ReplicaSet group = state.group(request.replicaSet());
    PendingRequest p =
        new PendingRequest(request, type, group, positions.token(request), state.now);
    state.pending.put(request.id(), p);
    group.cold.recordRequest(state.now, type.requiresPrimary());
    state.at(
        p, Math.max(state.now, p.deadline - state.settings.tickMicros()), () -> queue.giveUp(p));
    queue.dispatch(p);
  }

  @Override
  public void onAttemptOutcome(long time, AttemptOutcome o) {
    state.now = time;
    Attempt a = state.attemptsOut.remove(o.requestId() + o.attemptNumber());
    EndpointState node = a != null ? a.node : state.nodes.get(o.endpointId());
    if (node != null) {
      positions.hear(node, o.loadReport());
      positions.told(node, o.role(), state.now);
      if (o.positionMicros() != UNKNOWN && o.role() != Role.UNKNOWN) {
        node.progress.advance(time, o.positionMicros());
      }
      if (o.status() == AttemptStatus.REPLICA_UNSUITABLE) {
        node.progress.recordRejectedRead(time);
      }
    }
    if (a == null) {
      return;
    }
    a.status = o.status();
    a.node.out.remove(a);
    boolean giveBack = state.now < a.node.scarceUntil && a.node.out.isEmpty();
    a.node.connectedUntil =
        giveBack ? UNKNOWN : state.now + state.settings.limits().connectionIdleMicros();
    if (giveBack) {
      state.actions.closeIdleConnections(a.node.id);
    }
    health.judge(a, o);
    PendingRequest p = a.request;
    if (o.status() == AttemptStatus.OK
        && p.type.isWrite()
        && p.request.sessionId() != null
        && !state.settings.consistency().clientsCarryPosition()) {
      long commit = o.positionMicros() == UNKNOWN ? state.now : o.positionMicros();
      state.sessions.recordWrite(p.request.sessionId(), p.request.replicaSet(), commit);
    }
    if (o.requestCompleted() || o.status() == AttemptStatus.OK) {
      queue.close(p);
    }
    if (p.open && p.outstanding() == 0) {
      p.missed |= o.status() == AttemptStatus.REPLICA_UNSUITABLE && !p.type.isWrite();
      queue.dispatch(p);
    }
    queue.release(p.group);
  }

  @Override
  public boolean mayStartAttempt(long time, String requestId, int attempt) {
    state.now = time;
    Attempt a = state.attemptsOut.get(requestId + attempt);
    return a != null
        && a.request.open
        && a.node.open
        && queue.guards().freshEnough(a.request, a.node)
        && (a.request.mayHaveRun() == a || queue.guards().mayTryAgain(a.request));
  }

  @Override
  public void onHealthCheckResult(
      long time, String member, AttemptStatus status, long took, LoadReport load) {
    state.now = time;
    EndpointState node = state.nodes.get(member);
    if (node != null) {
      node.probing = false;
      positions.hear(node, status == AttemptStatus.OK ? load : null);
      if (status == AttemptStatus.OK && node.unreachable) {
        health.alive(node);
      } else if (status == AttemptStatus.OK && state.now >= node.bannedUntil) {
        node.onTrial = false; // else a lone instance could never try it with a once-only write
      } else if (status == AttemptStatus.TIMEOUT
          || status == AttemptStatus.CONNECT_FAILED && ++node.breaks > OutlierDetector.BREAKS) {
        health.pause(node, "does not answer probes");
        node.unreachable = true;
      }
      queue.release(node.group);
    }
  }

  @Override
  public void onPeerMessage(long time, int from, byte[] payload) {
    state.now = time;
  }

  @Override
  public void onTimer(long time, String name) {
    state.now = time;
    state.timers.runDue(time);
  }

  @Override
  public void onClientDisconnected(long time, String requestId) {
    state.now = time;
    Optional.ofNullable(state.pending.get(requestId)).ifPresent(queue::close);
  }

  private void tend() {
    queue.sort();
    queue.guards().recount();
    for (ReplicaSet g : state.groups.values()) {
      if (g.held.stream().anyMatch(q -> !q.isEmpty())) {
        membership.wantPositions(g);
        queue.release(g);
      }
    }
    state.at(null, state.now + ReplicationProgress.OLD / 2, this::tend);
  }
}

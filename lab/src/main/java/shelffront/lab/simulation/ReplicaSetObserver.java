package shelffront.lab.simulation;

import java.util.List;
import shelffront.lab.invariants.Attempt;
import shelffront.lab.invariants.Rule;
import shelffront.lab.model.ReplicaSetModel;
import shelffront.lab.model.ReplicaSetModel.Effect;
import shelffront.lab.model.ReplicaSetModel.Host;
import shelffront.lab.model.ReplicaSetModel.Query;

/** Reports the events of the replica sets to the checker, the trace and discovery. */
final class ReplicaSetObserver implements ReplicaSetModel.Observer {

  private final SimulationContext context;
  private final HostFleet hosts;
  private final SimulatedHostEnvironment environment;
  private final RoleAnnouncements announcements;

  ReplicaSetObserver(
      SimulationContext context,
      HostFleet hosts,
      SimulatedHostEnvironment environment,
      RoleAnnouncements announcements) {
    this.context = context;
    this.hosts = hosts;
    this.environment = environment;
    this.announcements = announcements;
  }

  @Override
  public void executionStarted(Host host, Query query) {
    Attempt attempt = environment.lastAttempt(query.id());
    if (attempt != null) {
      context.checker().executionStarted(attempt);
    }
  }

  @Override
  public void applied(Host host, Effect effect, Query query, boolean repeated) {
    context.trace().record("applied", host.id(), query.id(), effect.key());
    context.checker().effectApplied(effect, query.id(), repeated, context.nowMicros());
  }

  @Override
  public void readServed(Host host, Query query, long position) {
    int gateway = context.checker().gatewayOf(query.id());
    context
        .checker()
        .readServed(
            query.id(),
            host.id(),
            host.isPrimary(),
            position,
            context.nowMicros(),
            announcements.knownAtMicros(gateway, host.id()));
  }

  @Override
  public void overloaded(Host host) {
    context
        .checker()
        .recordViolation(
            context.nowMicros(),
            Rule.COLD,
            host.id() + " received more work than its limit permits during warm-up");
  }

  @Override
  public void primaryChanged(Host host, Host before, List<Effect> lost) {
    if (before != null) {
      announcements.demoted(before.id(), context.scenario().gateways());
    }
    String id = host == null ? "none" : host.id();
    context.trace().record("primary", id, String.valueOf(lost.size()));
    context.checker().effectsLost(lost);
    if (host != null) {
      hosts.publishRoles(host);
    }
  }
}

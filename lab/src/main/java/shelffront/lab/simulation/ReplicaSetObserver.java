package shelffront.lab.simulation;

import java.util.List;
import shelffront.lab.invariants.InvariantChecker;
import shelffront.lab.invariants.InvariantChecker.Rule;
import shelffront.lab.model.ReplicaSetModel;
import shelffront.lab.model.ReplicaSetModel.Box;
import shelffront.lab.model.ReplicaSetModel.Effect;
import shelffront.lab.model.ReplicaSetModel.Query;

/** Tells the checker, the trace and discovery what truly happened in the replica sets. */
final class ReplicaSetObserver implements ReplicaSetModel.Witness {

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
  public void begun(Box host, Query query) {
    InvariantChecker.Try attempt = environment.lastAttempt(query.id());
    if (attempt != null) {
      context.checker().begins(attempt);
    }
  }

  @Override
  public void applied(Box host, Effect effect, Query by, boolean repeated) {
    context.trace().record("applied", host.id(), by.id(), effect.key());
    context.checker().applied(effect, by.id(), repeated, context.now());
  }

  @Override
  public void read(Box host, Query query, long position) {
    int gateway = context.checker().gatewayOf(query.id());
    context
        .checker()
        .read(
            query.id(),
            host.id(),
            host.isPrimary(),
            position,
            context.now(),
            announcements.knownAtMicros(gateway, host.id()));
  }

  @Override
  public void pushedOver(Box host) {
    context
        .checker()
        .violated(context.now(), Rule.COLD, host.id() + " got more than a cold box can bear");
  }

  @Override
  public void primary(Box host, Box before, List<Effect> lost) {
    if (before != null) {
      announcements.demoted(before.id(), context.scenario().gateways());
    }
    String id = host == null ? "none" : host.id();
    context.trace().record("primary", id, String.valueOf(lost.size()));
    context.checker().lost(lost);
    if (host != null) {
      hosts.publishRoles(host);
    }
  }
}

package shelffront.decision;

import static java.util.stream.Collectors.toList;
import static shelffront.routing.Router.UNKNOWN;

import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import shelffront.fleet.EndpointSubsetting;
import shelffront.routing.Endpoint;

/** The members that the list names, and the probes sent to them. */
record EndpointRegistry(RoutingState state) {

  static final double FIRST_LIMIT = 24; // Of all instances to a member of which nothing is known.
  static final int PROBES_AT_ONCE = 2; // In a group whose reads wait.

  void open(Endpoint m) {
    EndpointState before = state.nodes.get(m.id());
    if (before != null && before.entry.replicaSet() != m.replicaSet()) {
      before.open = false;
      close(before, true); // what is known of it is of another set's log
    }
    EndpointState n = state.nodes.computeIfAbsent(m.id(), EndpointState::new);
    boolean fresh = n.entry == null || !n.open || n.entry.startedAtMicros() != m.startedAtMicros();
    n.entry = m;
    n.open = true;
    n.limit.initialize(Math.max(1, FIRST_LIMIT / state.settings.gateway().gatewayCount()));
    n.group = state.group(m.replicaSet());
    n.group.nodes.put(n.id, n);
    if (m.listedAsPrimary() && n.group.primary == null && n.group.primaryAt == UNKNOWN) {
      n.group.primary = n;
    }
    n.group.own = null;
    if (fresh) {
      n.bannedUntil = UNKNOWN;
      n.probedAt = UNKNOWN;
      if (EndpointSubsetting.coversAllEndpoints(state.settings.gateway().gatewayCount())) {
        probe(n);
      }
    }
  }

  /**
   * The replicas that this instance prefers; those newly listed are probed now that one is wanted.
   */
  List<String> own(ReplicaSet g) {
    if (g.own == null) {
      List<String> replicas =
          g.nodes.values().stream()
              .filter(n -> n.open && n != g.primary)
              .map(n -> n.id)
              .collect(toList());
      g.own =
          EndpointSubsetting.subsets(
              state.settings.gateway().gatewayIndex(),
              state.settings.gateway().gatewayCount(),
              replicas);
      g.own.stream().map(g.nodes::get).filter(n -> n.probedAt == UNKNOWN).forEach(this::probe);
    }
    return g.own;
  }

  void close(EndpointState n, boolean gone) {
    if (gone && n.open && state.settings.safetyRules().removalIsAdvisory()) {
      return; // the list does not prove it down (rule 6): own attempts tell
    }
    n.open = false;
    if (gone) {
      state.nodes.remove(n.id);
      n.group.nodes.remove(n.id);
    }
    n.group.own = null;
    n.group.primary = n.group.primary == n ? null : n.group.primary;
  }

  void probe(EndpointState n) {
    if (state.settings.limits().healthChecksAllowed() && n.open) {
      n.probedAt = state.now;
      n.probing = true;
      state.actions.checkHealth(n.id);
    }
  }

  /**
   * Probes for a held request, within the allowance: a few at a time, any while no primary is
   * known.
   */
  void wantPositions(ReplicaSet g) {
    boolean lost = g.primary == null || state.now < g.primary.bannedUntil || g.primary.onTrial;
    long out = g.nodes.values().stream().filter(n -> n.probing).count();
    List<EndpointState> old =
        g.nodes.values().stream()
            .filter(n -> lost || n != g.primary)
            .filter(n -> n.progress.isHealthCheckDue(state.now, n.probedAt, lost))
            .collect(toList());
    Collections.shuffle(old, state.random);
    // What waits for the primary has no other; then those that are used most.
    old.sort(
        Comparator.comparing((EndpointState n) -> n != g.primary)
            .thenComparing(n -> !own(g).contains(n.id)));
    for (EndpointState n : old) {
      if (out < PROBES_AT_ONCE && state.probes.tryAcquire()) {
        out++;
        probe(n);
      }
    }
  }
}

package shelffront.lab.simulation;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import shelffront.lab.emulator.DiscoveryEmulator;
import shelffront.lab.emulator.EmulatedHostConnection;
import shelffront.lab.model.ReplicaSetModel;
import shelffront.lab.model.ReplicaSetModel.Host;
import shelffront.lab.virtual.SimulatedMachine;

/**
 * Manages the database hosts of a simulation: their replica sets, machines and addresses, their
 * termination, replacement and restart, and the endpoint updates published to discovery.
 */
final class HostFleet {

  static final String READY = "Ready";
  private static final String DRAINING = "Terminating";
  private static final String REMOVED = "Gone";
  private static final long MIN_DRAIN_MICROS = 3_000_000;
  private static final long MICROS_PER_MILLI = 1_000;

  /** A host with its machine, its address and the number of its replica set, counted from 1. */
  private record Placement(
      Host host, SimulatedMachine machine, InetSocketAddress address, int replicaSet) {}

  private final SimulationContext context;
  private final SimulatedDiscovery discovery;
  private final GatewayFleet gateways;
  private final SimulatedHostEnvironment environment;
  private final List<ReplicaSetModel> replicaSets = new ArrayList<>();
  private final Map<String, Host> hosts = new TreeMap<>();

  /** Placements by host id, including those of removed hosts. */
  private final Map<String, Placement> placements = new HashMap<>();

  private final Set<String> firstPrimaries = new HashSet<>();
  private int replacements;

  /** Places all replica sets of the scenario and publishes their hosts. */
  HostFleet(SimulationContext context, SimulatedDiscovery discovery, GatewayFleet gateways) {
    this.context = context;
    this.discovery = discovery;
    this.gateways = gateways;
    RoleAnnouncements announcements = new RoleAnnouncements();
    environment = new SimulatedHostEnvironment(context, gateways, announcements);
    ReplicaSetModel.Observer observer =
        new ReplicaSetObserver(context, this, environment, announcements);
    Scenario scenario = context.scenario();
    for (int number = 1; number <= scenario.sets(); number++) {
      ReplicaSetModel replicaSet =
          new ReplicaSetModel(
              "s" + number,
              scenario.boxes(),
              context.scheduler(),
              context.fork(),
              scenario.figures(),
              observer);
      replicaSets.add(replicaSet);
      for (Host host : replicaSet.hosts()) {
        place(host, number);
        if (host.isPrimary()) {
          firstPrimaries.add(host.id());
        }
        discovery.publish(line(host, READY), 0);
      }
    }
  }

  SimulatedHostEnvironment environment() {
    return environment;
  }

  /** Returns the host selected by the target number of a fault. */
  Host target(int target) {
    List<Host> all = List.copyOf(hosts.values());
    return all.get(target % all.size());
  }

  /** Returns the primary of the replica set selected by a fault, or null if there is none. */
  Host targetPrimary(int target) {
    return replicaSets.get(target % replicaSets.size()).primary();
  }

  SimulatedMachine machine(Host host) {
    return placements.get(host.id()).machine();
  }

  Set<String> ids() {
    return hosts.keySet();
  }

  private ReplicaSetModel replicaSet(Host host) {
    return replicaSets.get(placements.get(host.id()).replicaSet() - 1);
  }

  private void place(Host host, int replicaSet) {
    SimulatedMachine machine = context.network().machine(host.id());
    hosts.put(host.id(), host);
    InetSocketAddress address = context.network().newAddress();
    placements.put(host.id(), new Placement(host, machine, address, replicaSet));
    int connectionLimit = context.scenario().figures().connections();
    context
        .network()
        .listen(
            machine,
            address,
            connection ->
                !host.isUp() || machine.connectionCount() >= connectionLimit
                    ? null
                    : new EmulatedHostConnection(environment, host, connection));
  }

  private DiscoveryEmulator.EndpointLine line(Host host, String phase) {
    Placement placement = placements.get(host.id());
    return new DiscoveryEmulator.EndpointLine(
        host.id(),
        placement.address().getHostString() + ":" + placement.address().getPort(),
        placement.replicaSet(),
        phase,
        host.startedAtMicros() / MICROS_PER_MILLI,
        switch (context.scenario().deployment().listRole()) {
          case NONE -> false;
          case AT_START -> firstPrimaries.contains(host.id());
          case LATE -> host.isPrimary();
        });
  }

  /** Publishes all hosts of a replica set again after a change of its primary. */
  void publishRoles(Host newPrimary) {
    if (!hosts.containsKey(newPrimary.id())) {
      return;
    }
    for (Host host : replicaSet(newPrimary).hosts()) {
      if (host.isUp() && hosts.containsKey(host.id())) {
        discovery.publish(
            line(host, host.isDraining() ? DRAINING : READY), context.scenario().listDelay() + 2);
      }
    }
  }

  /**
   * Publishes that a host accepts no new requests. If the endpoint list is pushed, all gateways
   * count as informed after {@link SimulatedDiscovery#PUSH_DELAY_MICROS}, whether they watch or
   * not.
   */
  private void publishUnavailable(Host host, String phase, long delayMicros) {
    discovery.publish(line(host, phase), delayMicros);
    Scenario scenario = context.scenario();
    if (scenario.deployment().pushed() && scenario.means().tenants() == 0) {
      context
          .scheduler()
          .after(
              delayMicros + SimulatedDiscovery.PUSH_DELAY_MICROS, () -> markDrainAnnounced(host));
    }
  }

  private void markDrainAnnounced(Host host) {
    boolean availableAgain = host.isUp() && !host.isDraining(); // may be published already
    if (!availableAgain && !discovery.mayBeDelayed() && hosts.get(host.id()) == host) {
      gateways.forEachAlive(
          gateway ->
              context.checker().drainAnnounced(gateway.index(), host.id(), context.nowMicros()));
    }
  }

  /**
   * Ends the process of a host, and restarts it after {@code downMicros} unless it was replaced.
   */
  void kill(Host host, long downMicros) {
    if (!host.isUp()) {
      return;
    }
    context.trace().record("kill", host.id());
    end(host);
    context
        .scheduler()
        .after(
            downMicros,
            () -> {
              if (hosts.containsKey(host.id())) {
                replicaSet(host).restart(host);
                discovery.publish(line(host, READY), context.scenario().listDelay() + 1);
              }
            });
  }

  private void end(Host host) {
    replicaSet(host).kill(host);
    machine(host).resetAll();
    publishUnavailable(host, REMOVED, context.scenario().listDelay());
  }

  /** Replaces a host as planned: drains it, ends it, and adds a new host with another id. */
  void drain(Host host, long extraMicros) {
    if (!host.isUp() || host.isDraining()) {
      return;
    }
    context.trace().record("drain", host.id());
    ReplicaSetModel replicaSet = replicaSet(host);
    replicaSet.drain(host);
    publishUnavailable(host, DRAINING, 1);
    Host replacement = replicaSet.join("n" + replacements++);
    place(replacement, placements.get(host.id()).replicaSet());
    discovery.publish(line(replacement, READY), context.scenario().listDelay());
    context
        .scheduler()
        .after(
            MIN_DRAIN_MICROS + extraMicros,
            () -> {
              if (host.isUp()) {
                end(host);
              }
              hosts.remove(host.id());
            });
  }
}

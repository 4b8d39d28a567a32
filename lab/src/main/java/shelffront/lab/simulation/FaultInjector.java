package shelffront.lab.simulation;

import java.util.List;
import java.util.Set;
import shelffront.lab.model.ReplicaSetModel.Host;
import shelffront.lab.simulation.Scenario.Fault;
import shelffront.lab.simulation.Scenario.FaultKind;
import shelffront.lab.virtual.SimulatedMachine;
import shelffront.lab.virtual.VirtualNetwork.Weather;

/** Injects the faults of a scenario into hosts, network, discovery, gateways and clients. */
final class FaultInjector {

  private static final int MISBEHAVING_CLIENTS = 40;
  private static final int HOST_PAUSE_COUNT = 20;
  private static final long MAX_HOST_PAUSE_MICROS = 25_000;
  private static final int MIN_SLOWDOWN_FACTOR = 2;
  private static final int SLOWDOWN_FACTOR_SPREAD = 20;
  private static final int DEGRADED_LATENCY_FACTOR = 3;
  private static final long DEGRADED_JITTER_MICROS = 10_000;
  private static final double DEGRADED_CHOP_PROBABILITY = 0.9;
  private static final long MAX_GATEWAY_PAUSE_MICROS = 400_000;
  private static final long CLOCK_STEP_MICROS = 20_000;

  /** Time after which no request sent before a clock step is still open. */
  private static final long CLOCK_STEP_DISTURBANCE_MICROS = FleetSimulation.LAST_DEADLINE_MICROS;

  private static final double BURST_FACTOR = 6;
  private static final long MAX_BURST_MICROS = 1_000_000;
  private static final long MAX_STALL_MICROS = 2_000_000;
  private static final long MAX_IDLE_MICROS = 3_000_000;
  private static final long MAX_TENANT_CHANGE_MICROS = 1_500_000;
  private static final int TARGETS_PER_TENANT = 7;
  private static final double MIN_TENANT_WEIGHT = 0.1;
  private static final int TENANT_WEIGHT_SPREAD = 9;

  private final SimulationContext context;
  private final SimulatedDiscovery discovery;
  private final HostFleet hosts;
  private final GatewayFleet gateways;
  private final List<ClientPopulation> populations;
  private final SimulatedMachine misbehavingMachine;

  FaultInjector(
      SimulationContext context,
      SimulatedDiscovery discovery,
      HostFleet hosts,
      GatewayFleet gateways,
      List<ClientPopulation> populations) {
    this.context = context;
    this.discovery = discovery;
    this.hosts = hosts;
    this.gateways = gateways;
    this.populations = populations;
    misbehavingMachine = context.network().machine("rude");
  }

  /** Schedules the faults of the scenario relative to the start of the load. */
  void schedule(long loadStartMicros) {
    Scenario scenario = context.scenario();
    for (Fault fault : scenario.faults()) {
      if (fault.at() < scenario.length()) {
        context.scheduler().at(loadStartMicros + fault.at(), () -> inject(fault));
      }
    }
  }

  private void inject(Fault fault) {
    context.trace().record("fault", fault.toString());
    int target = fault.target();
    long durationMicros = fault.time();
    switch (fault.kind()) {
      case KILL_BOX, KILL_PRIMARY -> killHost(fault);
      case DRAIN_BOX, DRAIN_PRIMARY -> drainHost(fault);
      case VANISH_BOX -> isolate(hosts.target(target), durationMicros);
      case SLOW_BOX ->
          hosts
              .target(target)
              .slowDown(MIN_SLOWDOWN_FACTOR + target % SLOWDOWN_FACTOR_SPREAD, durationMicros);
      case SPOIL_BOX -> hosts.environment().corruptAnswers(hosts.target(target), durationMicros);
      case RESET_BOX -> hosts.machine(hosts.target(target)).resetAll();
      case HICCUP_BOX -> pauseRepeatedly(hosts.target(target), durationMicros);
      case BAD_NETWORK -> degradeNetwork(durationMicros);
      case BREAK_WATCHES -> discovery.breakWatches();
      case DISCOVERY_DOWN -> discovery.takeDown(durationMicros);
      case KILL_GATEWAY -> gateways.kill(gateways.target(target), durationMicros);
      case STOP_GATEWAY -> gateways.stop(gateways.target(target));
      case PAUSE_GATEWAY -> pause(gateways.target(target), durationMicros);
      case STEP_CLOCK -> stepClock(fault);
      case RELOAD -> reload(gateways.target(target));
      case BURST -> burst(population(target), durationMicros);
      case HANG_UPS -> population(target).hangUp();
      case STALL_READERS ->
          population(target).stallReaders(Math.min(MAX_STALL_MICROS, durationMicros));
      case IDLE_CROWD ->
          population(target)
              .connectIdle(
                  context.scenario().means().sockets(), Math.min(MAX_IDLE_MICROS, durationMicros));
      case GARBAGE -> connectMisbehavingClients(fault);
      case REMOVE_TENANT, CHANGE_TENANT, DRAIN_BY_TENANT -> changeTenant(fault);
      default ->
          throw new IllegalStateException("no injection for fault kind " + fault.kind().name());
    }
  }

  private ClientPopulation population(int target) {
    return populations.get(target % populations.size());
  }

  private void killHost(Fault fault) {
    Host host =
        fault.kind() == FaultKind.KILL_PRIMARY
            ? hosts.targetPrimary(fault.target())
            : hosts.target(fault.target());
    if (host != null) {
      hosts.kill(host, fault.time());
    }
  }

  private void drainHost(Fault fault) {
    Host host =
        fault.kind() == FaultKind.DRAIN_PRIMARY
            ? hosts.targetPrimary(fault.target())
            : hosts.target(fault.target());
    if (host != null) {
      hosts.drain(host, fault.time());
    }
  }

  private void isolate(Host host, long durationMicros) {
    SimulatedMachine machine = hosts.machine(host);
    machine.isolate();
    context.scheduler().after(durationMicros, machine::rejoin);
  }

  private void pauseRepeatedly(Host host, long durationMicros) {
    for (int i = 0; i < HOST_PAUSE_COUNT; i++) {
      context
          .scheduler()
          .after(
              context.random().nextLong(durationMicros + 1),
              () -> host.pause(context.random().nextLong(MAX_HOST_PAUSE_MICROS)));
    }
  }

  private void degradeNetwork(long durationMicros) {
    Weather usual = context.scenario().weather();
    context
        .network()
        .weather(
            new Weather(
                usual.latency() * DEGRADED_LATENCY_FACTOR,
                usual.jitter() + DEGRADED_JITTER_MICROS,
                DEGRADED_CHOP_PROBABILITY));
    context.scheduler().after(durationMicros, () -> context.network().weather(usual));
  }

  private void pause(SimulatedGateway gateway, long durationMicros) {
    long pauseMicros = Math.min(MAX_GATEWAY_PAUSE_MICROS, durationMicros);
    gateway.pauseFor(pauseMicros);
    gateways.disturb(gateway.index(), pauseMicros);
  }

  private void stepClock(Fault fault) {
    SimulatedGateway gateway = gateways.target(fault.target());
    gateway.stepClock(fault.target() % 2 == 0 ? -CLOCK_STEP_MICROS : CLOCK_STEP_MICROS);
    gateways.disturb(gateway.index(), CLOCK_STEP_DISTURBANCE_MICROS);
  }

  private static void reload(SimulatedGateway gateway) {
    if (gateway.isRunning() && !gateway.isMultiTenant()) {
      gateway.reload();
    }
  }

  private void burst(ClientPopulation population, long durationMicros) {
    population.setRateFactor(BURST_FACTOR);
    context
        .scheduler()
        .after(Math.min(MAX_BURST_MICROS, durationMicros), () -> population.setRateFactor(1));
  }

  private void connectMisbehavingClients(Fault fault) {
    hosts.environment().expectUnknownClients();
    for (int i = 0; i < MISBEHAVING_CLIENTS; i++) {
      context
          .scheduler()
          .after(
              context.random().nextLong(fault.time() + 1),
              () ->
                  new MisbehavingClientHandler(
                      context.network().transportOn(misbehavingMachine),
                      gateways.address(fault.target() % gateways.size()),
                      context.random()));
    }
  }

  /** Applies an administrative change to a tenant and reverts it later; multi-tenant only. */
  private void changeTenant(Fault fault) {
    int target = fault.target();
    SimulatedGateway gateway = gateways.target(target);
    if (!gateway.isMultiTenant() || !gateway.isRunning()) {
      return;
    }
    int tenant = target / TARGETS_PER_TENANT % context.scenario().means().tenants();
    switch (fault.kind()) {
      case REMOVE_TENANT ->
          gateway.removeTenant(tenant, () -> context.trace().record("gone", gateway.name()));
      case CHANGE_TENANT ->
          gateway.applyTenant(tenant, MIN_TENANT_WEIGHT + target % TENANT_WEIGHT_SPREAD, Set.of());
      default -> gateway.applyTenant(tenant, 1, Set.of(hosts.target(target).id()));
    }
    context
        .scheduler()
        .after(
            Math.min(MAX_TENANT_CHANGE_MICROS, fault.time()),
            () -> {
              if (gateway.isRunning()) {
                gateway.applyTenant(tenant, 1, Set.of());
              }
            });
  }
}

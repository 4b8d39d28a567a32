package shelffront.lab.simulation;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Function;
import shelffront.backend.BackendConnections.Login;
import shelffront.config.GatewayConfig;
import shelffront.gateway.Gateway;
import shelffront.lab.invariants.Rule;
import shelffront.lab.simulation.Scenario.Means;
import shelffront.lab.virtual.SimulatedMachine;
import shelffront.lab.virtual.VirtualChannels;
import shelffront.multitenant.GatewayEnvironment;
import shelffront.multitenant.MultiTenantConfig;
import shelffront.multitenant.MultiTenantGateway;
import shelffront.net.Counters;
import shelffront.net.EventLog;
import shelffront.net.EventLoop;
import shelffront.net.Network;
import shelffront.net.ResourceBudget;
import shelffront.tenant.TenantSpec;
import shelffront.tenant.TenantSpecCodec.SpecException;

/**
 * One gateway process: the production classes on in-memory channels, with one core, a clock that
 * may be skewed, and pauses. A process that was killed or has stopped never restarts; {@link
 * GatewayFleet} replaces it with a new one.
 */
final class SimulatedGateway {

  private static final long BUFFER_BYTES = 32L << 20;
  private static final int OPEN_REQUESTS = 20_000;
  private static final int SHARED_OPEN_REQUESTS = 4_000;
  private static final int TENANT_OPEN_REQUESTS = 2_000;
  private static final int TENANT_CONNECTIONS = 1_000;
  private static final long TENANT_GRACE_MICROS = 1_000_000;

  /** Events that each cost a gateway the same amount of CPU time. */
  private static final Set<Counters.Name> CHARGED_EVENTS =
      EnumSet.of(
          Counters.Name.REQUESTS_TAKEN,
          Counters.Name.ATTEMPTS_SENT,
          Counters.Name.PROBES_SENT,
          Counters.Name.CLIENTS_ACCEPTED,
          Counters.Name.HOST_CONNECTIONS_OPENED,
          Counters.Name.LISTS_HEARD);

  private final SimulationContext context;
  private final SimulatedDiscovery discovery;
  private final int index;
  private final SimulatedMachine machine;
  private final VirtualChannels channels;
  private final List<Network> networks;
  private final Gateway gateway; // null if the gateway is multi-tenant
  private final MultiTenantGateway multiTenantGateway; // null if the gateway is single-tenant
  private GatewayConfig config;
  private long chargedEvents;
  private long clockSkewMicros;
  private long pausedUntilMicros;
  private boolean killed;
  private boolean stopping;
  private long acceptsUntilMicros;

  SimulatedGateway(
      SimulationContext context,
      SimulatedDiscovery discovery,
      int index,
      SimulatedMachine machine,
      InetSocketAddress listenAddress,
      Function<FleetSimulation.GatewayParts, Gateway> variant) {
    this.context = context;
    this.discovery = discovery;
    this.index = index;
    this.machine = machine;
    Means means = context.scenario().means();
    channels = new VirtualChannels(context.network(), machine, means.sockets());
    EventLog log = line -> context.trace().record("log", name(), String.valueOf(line));
    try {
      config = initialConfig(listenAddress);
      if (means.tenants() > 0) {
        multiTenantGateway = createMultiTenant(log);
        gateway = null;
        networks = multiTenantGateway.networks();
        networks.get(0).loop().post(multiTenantGateway::startWithoutThreads);
      } else {
        Counters counters = new Counters();
        EventLoop loop = new EventLoop(this::clockMicros, counters);
        Network network =
            Network.open(loop, channels, new ResourceBudget(BUFFER_BYTES), counters, log);
        multiTenantGateway = null;
        gateway = variant.apply(new FleetSimulation.GatewayParts(network, config, channels));
        networks = List.of(network);
        loop.post(gateway::start);
      }
    } catch (IOException | SpecException e) {
      throw new IllegalStateException(
          "gateway " + index + " failed to start on the virtual network at " + listenAddress, e);
    }
  }

  private long clockMicros() {
    return context.nowMicros() + clockSkewMicros;
  }

  private GatewayConfig initialConfig(InetSocketAddress listenAddress) {
    Scenario scenario = context.scenario();
    int modules = scenario.gateways() * Math.max(1, scenario.means().tenants());
    return new GatewayConfig(
        "n" + index,
        listenAddress,
        discovery.address(),
        context.random().nextLong(),
        scenario.means().sockets(),
        OPEN_REQUESTS,
        scenario.deployment().settings(index, modules, scenario.figures()),
        discovery.currentList());
  }

  private MultiTenantGateway createMultiTenant(EventLog log) throws IOException, SpecException {
    Means means = context.scenario().means();
    MultiTenantConfig multiTenantConfig =
        new MultiTenantConfig(
            config.listenAddress(),
            null,
            null,
            means.loops(),
            means.sockets(),
            BUFFER_BYTES,
            new MultiTenantConfig.Capacity(0, SHARED_OPEN_REQUESTS),
            List.of());
    MultiTenantGateway created =
        new MultiTenantGateway(
            multiTenantConfig,
            log,
            new GatewayEnvironment(this::clockMicros, loop -> channels, config.seed()));
    for (int tenant = 0; tenant < means.tenants(); tenant++) {
      created.apply(tenantSpec(tenant, 1, Set.of()), appliedAt -> {});
    }
    return created;
  }

  private TenantSpec tenantSpec(int tenant, double weight, Set<String> drainedHosts) {
    return new TenantSpec(
        tenantName(tenant),
        weight,
        new double[0],
        new TenantSpec.Bounds(
            0, 0, TENANT_OPEN_REQUESTS, TENANT_CONNECTIONS, TENANT_CONNECTIONS, BUFFER_BYTES),
        config.settings(),
        new Login("api", "ledger"),
        new TenantSpec.EndpointSource(config.discoveryAddress(), discovery.currentList()),
        drainedHosts,
        List.of(),
        TENANT_GRACE_MICROS);
  }

  static String tenantName(int tenant) {
    return "t" + tenant;
  }

  int index() {
    return index;
  }

  String name() {
    return "g" + index;
  }

  boolean runsOn(SimulatedMachine other) {
    return machine == other;
  }

  boolean isKilled() {
    return killed;
  }

  /** Whether the process was neither killed nor sent a SIGTERM. */
  boolean isRunning() {
    return !killed && !stopping;
  }

  boolean isMultiTenant() {
    return multiTenantGateway != null;
  }

  boolean isStopped() {
    return networks.stream().allMatch(network -> network.loop().isStopped());
  }

  /** Whether clients still open connections to this gateway. */
  boolean acceptsConnections() {
    return !stopping || context.nowMicros() < acceptsUntilMicros;
  }

  /** Ends the process at once. The caller resets its connections. */
  void kill() {
    killed = true;
  }

  void resetConnections() {
    machine.resetAll();
  }

  /** Sends SIGTERM; clients keep opening connections until {@code clientsConnectUntilMicros}. */
  void stop(long clientsConnectUntilMicros) {
    stopping = true;
    acceptsUntilMicros = clientsConnectUntilMicros;
    if (multiTenantGateway != null) {
      multiTenantGateway.drain();
    } else {
      networks.get(0).loop().post(gateway::drain);
    }
  }

  /** Pauses the process for {@code durationMicros} from now, replacing any current pause. */
  void pauseFor(long durationMicros) {
    pausedUntilMicros = context.nowMicros() + durationMicros;
  }

  /** Extends the current pause by {@code durationMicros}; returns its remaining duration. */
  long extendPause(long durationMicros) {
    pausedUntilMicros = Math.max(pausedUntilMicros, context.nowMicros()) + durationMicros;
    return pausedUntilMicros - context.nowMicros();
  }

  void stepClock(long stepMicros) {
    clockSkewMicros += stepMicros;
  }

  /** Sends SIGHUP with the alternative discovery address configured; single-tenant only. */
  void reload() {
    config =
        new GatewayConfig(
            config.name(),
            config.listenAddress(),
            discovery.alternative(config.discoveryAddress()),
            config.seed(),
            config.maxSockets(),
            config.maxOpenRequests(),
            config.settings(),
            config.knownEndpoints());
    networks.get(0).loop().post(() -> gateway.reload(config));
  }

  void applyTenant(int tenant, double weight, Set<String> drainedHosts) {
    multiTenantGateway.apply(tenantSpec(tenant, weight, drainedHosts), appliedAt -> {});
  }

  void removeTenant(int tenant, Runnable onRemoved) {
    multiTenantGateway.remove(tenantName(tenant), removedAt -> onRemoved.run());
  }

  /** Returns the virtual time of the next due turn; {@link Long#MAX_VALUE} if there is none. */
  long nextTurnMicros() {
    if (killed) {
      return Long.MAX_VALUE;
    }
    long dueMicros = Long.MAX_VALUE;
    for (Network network : networks) {
      dueMicros = Math.min(dueMicros, dueMicros(network.loop()));
    }
    return Math.max(dueMicros, pausedUntilMicros);
  }

  private long dueMicros(EventLoop loop) {
    long deadline = loop.nextDeadlineMicros();
    if (loop.isStopped()) {
      return Long.MAX_VALUE;
    }
    if (loop.isReady()) {
      return 0;
    }
    return deadline == Long.MAX_VALUE ? deadline : deadline - clockSkewMicros;
  }

  /** Runs one turn of each due event loop and charges its CPU time to the single core. */
  void runTurn() {
    for (Network network : networks) {
      if (dueMicros(network.loop()) <= context.nowMicros()) {
        network.loop().runTurn();
      }
    }
    long costMicros = context.scenario().means().work();
    if (costMicros > 0) {
      long events = CHARGED_EVENTS.stream().mapToLong(this::count).sum();
      pausedUntilMicros =
          Math.max(pausedUntilMicros, context.nowMicros() + (events - chargedEvents) * costMicros);
      chargedEvents = events;
    }
  }

  private long count(Counters.Name name) {
    return networks.stream().mapToLong(network -> network.counters().get(name)).sum();
  }

  /** Checks that no fault was counted and, unless killed, that all resources were released. */
  void checkReleased() {
    if (count(Counters.Name.FAULTS) > 0) {
      recordViolation(Rule.NO_FAULT, "gateway " + index + " counted a fault in an event loop");
    }
    if (killed) {
      return;
    }
    long heldBytes = networks.get(0).budget().held();
    if (!isStopped() || channels.openCount() > 0 || heldBytes != 0) {
      String stopped = isStopped() ? "" : " did not stop";
      recordViolation(
          Rule.NOTHING_LEFT,
          String.format(
              Locale.ROOT,
              "gateway %d%s: %d channels open, %d buffer bytes held, expected none",
              index,
              stopped,
              channels.openCount(),
              heldBytes));
    }
  }

  private void recordViolation(Rule rule, String description) {
    context.checker().recordViolation(context.nowMicros(), rule, description);
  }
}

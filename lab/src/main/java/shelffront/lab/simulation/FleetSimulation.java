package shelffront.lab.simulation;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import org.HdrHistogram.Histogram;
import shelffront.config.GatewayConfig;
import shelffront.gateway.Gateway;
import shelffront.lab.emulator.DiscoveryEmulator;
import shelffront.lab.invariants.CheckedRequest;
import shelffront.lab.invariants.InvariantChecker;
import shelffront.lab.transport.TransportConnection;
import shelffront.lab.virtual.SimulatedMachine;
import shelffront.lab.virtual.SimulatedSocket;
import shelffront.lab.virtual.VirtualChannels;
import shelffront.net.Network;

/**
 * Runs a fleet of gateways with replica sets, clients and discovery in virtual time. The gateways
 * are the production classes on in-memory channels. Single-threaded; the same scenario always
 * produces an identical run.
 */
public final class FleetSimulation {

  /** Time after which a sent request that is still open will get no response. */
  static final long LAST_DEADLINE_MICROS = 3_500_000;

  private static final long SETTLING_MICROS = 300_000;
  private static final long CLIENTS_END_MICROS = 200_000;

  /**
   * The outcomes of a request class. Stored runs contain the component names.
   *
   * @param asked number of requests that were due
   * @param onTime served within the latency objective of the class
   * @param late served after the latency objective
   * @param refused rejected
   * @param failed ended with another error
   * @param unanswered without response, or not sent because no connection was available
   */
  public record Worth(
      long asked, long onTime, long late, long refused, long failed, long unanswered) {}

  /** Length of the windows for which value is summed, in microseconds. */
  public static final long WINDOW_MICROS = 250_000;

  /**
   * The result of a run: violations, outcomes by request class, size, and the hash of its event
   * trace.
   *
   * @param requestedValue sum of the priority weights of the requests sent in each window
   * @param servedValue the part of it that was served; late responses count with the late value
   *     fraction of their class
   * @param latencyMicros time from sending a request to its successful response, in microseconds
   */
  public record Result(
      List<InvariantChecker.Violation> violations,
      int violationCount,
      Map<String, Worth> byClass,
      double servedValueFraction,
      double[] requestedValue,
      double[] servedValue,
      Histogram latencyMicros,
      long events,
      long requests,
      String hash) {}

  /** The parts from which a gateway is created, possibly in a modified variant. */
  public record GatewayParts(Network network, GatewayConfig config, VirtualChannels channels) {

    /** Creates the gateway without modification. */
    public Gateway unmodified() {
      return withConfig(config);
    }

    /** Creates the gateway with another configuration. */
    public Gateway withConfig(GatewayConfig changedConfig) {
      try {
        return new Gateway(network, changedConfig);
      } catch (IOException e) {
        throw new IllegalStateException(
            "gateway failed to listen on the virtual network at " + changedConfig.listenAddress(),
            e);
      }
    }
  }

  private final SimulationContext context;
  private final GatewayFleet gateways;
  private final HostFleet hosts;
  private final FaultInjector faults;
  private final RequestRecorder requests;
  private final List<ClientPopulation> populations = new ArrayList<>();

  /** The parts draw random numbers and addresses on creation, so their order is part of a run. */
  private FleetSimulation(
      Scenario scenario, Function<GatewayParts, Gateway> variant, Consumer<String> traceListener) {
    context = SimulationContext.create(scenario, traceListener);
    SimulatedDiscovery discovery = new SimulatedDiscovery(context, this::endpointsSent);
    gateways = new GatewayFleet(context, discovery, variant);
    hosts = new HostFleet(context, discovery, gateways);
    gateways.assignAddresses();
    faults = new FaultInjector(context, discovery, hosts, gateways, populations);
    requests = new RequestRecorder(context, gateways);
    gateways.schedulePauses();
  }

  /** Runs a scenario with the unmodified gateway. */
  public static Result run(Scenario scenario) {
    return run(scenario, GatewayParts::unmodified, line -> {});
  }

  /** Runs a scenario with a gateway variant; {@code trace} receives the line of each event. */
  public static Result run(
      Scenario scenario, Function<GatewayParts, Gateway> variant, Consumer<String> trace) {
    return new FleetSimulation(scenario, variant, trace).run();
  }

  private Result run() {
    long discoveryReadyMicros = SimulationContext.START_MICROS + SETTLING_MICROS;
    runUntil(discoveryReadyMicros);
    gateways.startAll();
    runUntil(discoveryReadyMicros + SETTLING_MICROS);
    startLoad();
    runUntil(context.nowMicros() + context.scenario().length() + LAST_DEADLINE_MICROS);
    populations.forEach(ClientPopulation::closeAll);
    runUntil(context.nowMicros() + CLIENTS_END_MICROS);
    gateways.stopAll();
    runUntil(context.nowMicros() + gateways.drainMicros());
    gateways.checkAllReleased();
    checkAllAnswered();
    return requests.result();
  }

  private void startLoad() {
    Scenario scenario = context.scenario();
    requests.start();
    long startMicros = context.nowMicros();
    for (int gateway = 0; gateway < scenario.gateways(); gateway++) {
      populations.add(
          new ClientPopulation(
              context,
              gateways,
              requests,
              populations,
              gateway,
              scenario.perSecond() / scenario.gateways(),
              startMicros + scenario.length()));
    }
    faults.schedule(startMicros);
  }

  private void checkAllAnswered() {
    for (CheckedRequest request : context.checker().requests()) {
      if (!request.isAnswered()) {
        context
            .checker()
            .unanswered(request, context.nowMicros(), "had no response by the end of the run");
      }
    }
  }

  /** Advances virtual time, running events in order and the due turns of the gateways. */
  private void runUntil(long endMicros) {
    while (true) {
      if (gateways.runDueTurns() || context.scheduler().runNext()) {
        continue;
      }
      long nextMicros = Math.min(context.scheduler().nextMicros(), gateways.nextTurnMicros());
      if (nextMicros > endMicros) {
        context.scheduler().advanceTo(endMicros);
        return;
      }
      context.scheduler().advanceTo(nextMicros);
    }
  }

  /** Discovery has sent an update; the gateway that received it must act on it from now on. */
  private void endpointsSent(
      TransportConnection connection,
      List<DiscoveryEmulator.EndpointLine> lines,
      boolean complete) {
    SimulatedMachine machine = ((SimulatedSocket) connection).peer().machine();
    Integer gateway = gateways.currentIndexOf(machine);
    if (gateway == null) {
      return;
    }
    InvariantChecker checker = context.checker();
    Set<String> named = new LinkedHashSet<>();
    for (DiscoveryEmulator.EndpointLine line : lines) {
      named.add(line.id());
      if (line.phase().equals(HostFleet.READY)) {
        checker.drainEnded(gateway, line.id());
      } else {
        checker.drainAnnounced(gateway, line.id(), context.nowMicros());
      }
    }
    if (complete) {
      hosts.ids().stream()
          .filter(id -> !named.contains(id))
          .forEach(id -> checker.drainAnnounced(gateway, id, context.nowMicros()));
    }
  }
}

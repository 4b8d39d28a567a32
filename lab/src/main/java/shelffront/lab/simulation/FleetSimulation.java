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
 * A fleet of gateways with their replica sets, clients and discovery, in virtual time: the gateways
 * are the program's own classes on channels that exist in memory. One thread; the same scenario
 * gives the same run to the byte.
 */
public final class FleetSimulation {

  /** After this time every request that was sent has an answer or none comes. */
  static final long LAST_DEADLINE_MICROS = 3_500_000;

  private static final long SETTLING_MICROS = 300_000;
  private static final long CLIENTS_END_MICROS = 200_000;

  /**
   * What a class came to. The names are those of stored runs.
   *
   * @param asked requests that were due
   * @param onTime answered within the class's latency objective
   * @param late answered after it
   * @param refused rejected unserved
   * @param failed ended with another error
   * @param unanswered without any answer, or never sent for lack of a connection
   */
  public record Worth(
      long asked, long onTime, long late, long refused, long failed, long unanswered) {}

  /** Windows of a run in which worth is counted, in microseconds. */
  public static final long WINDOW_MICROS = 250_000;

  /**
   * How a run ended: broken rules, what classes came to, its size, and a hash over all that
   * happened.
   *
   * @param requestedValue worth asked for in each window
   * @param servedValue of that, the worth that was answered within the classes' aims
   * @param latencyMicros microseconds from asking to a served answer
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

  /** What a gateway is made of, for those who put a changed one in its place. */
  public record GatewayParts(Network network, GatewayConfig config, VirtualChannels channels) {

    /** The gateway as it is. */
    public Gateway unmodified() {
      return withConfig(config);
    }

    /** The gateway with another configuration. */
    public Gateway withConfig(GatewayConfig changedConfig) {
      try {
        return new Gateway(network, changedConfig);
      } catch (IOException e) {
        throw new IllegalStateException("the virtual network takes every listener", e);
      }
    }
  }

  private final SimulationContext context;
  private final GatewayFleet gateways;
  private final HostFleet hosts;
  private final FaultInjector faults;
  private final RequestRecorder requests;
  private final List<ClientPopulation> populations = new ArrayList<>();

  /** The parts draw random numbers and addresses as they are made: their order is part of a run. */
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

  /** Runs a scenario on the gateway as it is. */
  public static Result run(Scenario scenario) {
    return run(scenario, GatewayParts::unmodified, line -> {});
  }

  /** Runs a scenario on a gateway that may be a changed one; the trace gets each event's line. */
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
        context.checker().unanswered(request, context.nowMicros(), "was never answered");
      }
    }
  }

  /** Lets time pass: events in their order, and turns of gateways when one has something to do. */
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

  /** Discovery has sent an update to whoever watches: what gateways now know binds them. */
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

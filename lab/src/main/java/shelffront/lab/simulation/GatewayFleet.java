package shelffront.lab.simulation;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import shelffront.gateway.Gateway;
import shelffront.lab.invariants.CheckedRequest;
import shelffront.lab.virtual.SimulatedMachine;

/**
 * Manages the gateway processes of a simulation: their addresses, the replacement of processes that
 * were killed or have stopped, and the gateways whose responses may be late because of an injected
 * disturbance.
 */
final class GatewayFleet {

  private static final long CLIENTS_CONNECT_AFTER_STOP_MICROS = 400_000;
  private static final long DRAIN_MICROS = 8_000_000;
  private static final long STOP_POLL_INTERVAL_MICROS = 10_000;
  private static final long MAX_RESTART_DELAY_MICROS = 1_000_000;
  private static final long MIN_PAUSE_MICROS = 5_000;
  private static final long PAUSE_SPREAD_MICROS = 55_000;

  /** Range of a uniform draw with a mean of 1 s. */
  private static final double PAUSE_GAP_RANGE_MICROS = 2e6;

  private final SimulationContext context;
  private final SimulatedDiscovery discovery;
  private final Function<FleetSimulation.GatewayParts, Gateway> variant;
  private final List<InetSocketAddress> addresses = new ArrayList<>();
  private final List<SimulatedGateway> gateways = new ArrayList<>();
  private final Map<SimulatedMachine, Integer> indexes = new HashMap<>();
  private final Set<Integer> disturbed = new HashSet<>();
  private boolean ending;

  GatewayFleet(
      SimulationContext context,
      SimulatedDiscovery discovery,
      Function<FleetSimulation.GatewayParts, Gateway> variant) {
    this.context = context;
    this.discovery = discovery;
    this.variant = variant;
  }

  void assignAddresses() {
    for (int index = 0; index < context.scenario().gateways(); index++) {
      addresses.add(context.network().newAddress());
    }
  }

  /** Schedules random pauses, such as garbage collections, if the scenario has them. */
  void schedulePauses() {
    if (context.scenario().means().pauses() > 0) {
      context.scheduler().after(pauseGapMicros(), this::pauseRandomGateway);
    }
  }

  private long pauseGapMicros() {
    Scenario scenario = context.scenario();
    return 1
        + (long)
            (PAUSE_GAP_RANGE_MICROS
                * context.random().nextDouble()
                / scenario.means().pauses()
                / scenario.gateways());
  }

  private void pauseRandomGateway() {
    if (!gateways.isEmpty() && !ending) {
      SimulatedGateway gateway = gateways.get(context.random().nextInt(gateways.size()));
      long durationMicros = MIN_PAUSE_MICROS + context.random().nextLong(PAUSE_SPREAD_MICROS);
      disturb(gateway.index(), gateway.extendPause(durationMicros));
    }
    context.scheduler().after(pauseGapMicros(), this::pauseRandomGateway);
  }

  void startAll() {
    for (int index = 0; index < context.scenario().gateways(); index++) {
      gateways.add(start(index));
    }
  }

  private SimulatedGateway start(int index) {
    SimulatedMachine machine = context.network().machine("g" + index);
    indexes.put(machine, index);
    return new SimulatedGateway(context, discovery, index, machine, addresses.get(index), variant);
  }

  private void replace(int index) {
    if (ending) {
      return;
    }
    context.checker().gatewayRestarted(index);
    gateways.set(index, start(index));
  }

  int size() {
    return gateways.size();
  }

  SimulatedGateway get(int index) {
    return gateways.get(index);
  }

  InetSocketAddress address(int index) {
    return addresses.get(index);
  }

  /** Returns the gateway selected by the target number of a fault. */
  SimulatedGateway target(int target) {
    return gateways.get(target % gateways.size());
  }

  /** Returns the index of the gateway that runs or ran on a machine, or null if none did. */
  Integer indexOf(SimulatedMachine machine) {
    return indexes.get(machine);
  }

  /** Like {@link #indexOf}, but returns null for a process that has been replaced. */
  Integer currentIndexOf(SimulatedMachine machine) {
    Integer index = indexes.get(machine);
    return index != null && index < gateways.size() && gateways.get(index).runsOn(machine)
        ? index
        : null;
  }

  void forEachAlive(Consumer<SimulatedGateway> action) {
    gateways.stream().filter(gateway -> !gateway.isKilled()).forEach(action);
  }

  /** Whether clients still open connections, which they do for a short time after a SIGTERM. */
  boolean acceptsConnections(int index) {
    return gateways.get(index).acceptsConnections();
  }

  boolean isDisturbed(int index) {
    return disturbed.contains(index);
  }

  /** Exempts the requests that are open at a gateway within {@code durationMicros} from checks. */
  void disturb(int index, long durationMicros) {
    disturbed.add(index);
    exemptOpenRequests(index);
    context
        .scheduler()
        .after(
            durationMicros,
            () -> {
              exemptOpenRequests(index);
              disturbed.remove(index);
            });
  }

  private void exemptOpenRequests(int index) {
    for (CheckedRequest request : context.checker().requests()) {
      if (request.gateway == index && !request.isAnswered()) {
        context.checker().exempt(request);
      }
    }
  }

  /** Kills a gateway process; a new one starts at its address after at most 1 s. */
  void kill(SimulatedGateway gateway, long downMicros) {
    if (!gateway.isRunning()) {
      return;
    }
    context.trace().record("kill", gateway.name());
    gateway.kill();
    exemptOpenRequests(gateway.index());
    context.network().unlisten(addresses.get(gateway.index()));
    gateway.resetConnections();
    context
        .scheduler()
        .after(Math.min(downMicros, MAX_RESTART_DELAY_MICROS), () -> replace(gateway.index()));
  }

  /**
   * Sends SIGTERM: the gateway still has to serve its open requests. A new process starts at its
   * address as soon as it has stopped.
   */
  void stop(SimulatedGateway gateway) {
    if (!gateway.isRunning()) {
      return;
    }
    context.trace().record("stop", gateway.name());
    gateway.stop(context.nowMicros() + CLIENTS_CONNECT_AFTER_STOP_MICROS);
    awaitStop(gateway, context.nowMicros() + DRAIN_MICROS);
  }

  private void awaitStop(SimulatedGateway gateway, long deadlineMicros) {
    context
        .scheduler()
        .after(
            STOP_POLL_INTERVAL_MICROS,
            () -> {
              if (gateway.isStopped()) {
                gateway.checkReleased();
                replace(gateway.index());
              } else if (context.nowMicros() < deadlineMicros) {
                awaitStop(gateway, deadlineMicros);
              } else {
                gateway.checkReleased();
              }
            });
  }

  /** Sends SIGTERM to all gateways at the end of a run; none is replaced. */
  void stopAll() {
    ending = true;
    for (SimulatedGateway gateway : List.copyOf(gateways)) {
      if (gateway.isRunning()) {
        gateway.stop(0);
      }
    }
  }

  /** Returns the maximum time that a gateway may take to stop, in microseconds. */
  long drainMicros() {
    return DRAIN_MICROS;
  }

  void checkAllReleased() {
    gateways.forEach(SimulatedGateway::checkReleased);
  }

  /** Runs one turn of each gateway that is due; returns whether any was due. */
  boolean runDueTurns() {
    boolean ran = false;
    for (SimulatedGateway gateway : gateways) {
      if (gateway.nextTurnMicros() <= context.nowMicros()) {
        gateway.runTurn();
        ran = true;
      }
    }
    return ran;
  }

  /** Returns the time of the earliest due turn of all gateways. */
  long nextTurnMicros() {
    long nextMicros = Long.MAX_VALUE;
    for (SimulatedGateway gateway : gateways) {
      nextMicros = Math.min(nextMicros, gateway.nextTurnMicros());
    }
    return nextMicros;
  }
}

package shelffront.lab.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import shelffront.config.GatewayConfig;
import shelffront.gateway.Gateway;
import shelffront.lab.model.ReplicaSetParameters;
import shelffront.lab.simulation.Scenario.Fault;
import shelffront.lab.simulation.Scenario.FaultKind;
import shelffront.lab.simulation.Scenario.Means;
import shelffront.lab.virtual.VirtualNetwork.Weather;
import shelffront.net.Counters;
import shelffront.net.Network;
import shelffront.routing.ConsistencySettings;
import shelffront.routing.EndpointListSettings;
import shelffront.routing.GatewayIdentity;
import shelffront.routing.RoutingSettings;

/** A hundred gateways of little traffic in virtual time: what they cost their hosts together. */
class FleetSizeSimulationTest {

  private static final long SECOND = 1_000_000;
  private static final int GATEWAYS = 100;

  /** What all gateways of a run sent and opened. */
  private record Cost(FleetSimulation.Result result, long probes, long connections) {}

  private static Cost cost(
      Scenario scenario, Function<FleetSimulation.GatewayParts, Gateway> made) {
    List<Network> networks = new ArrayList<>();
    FleetSimulation.Result result =
        FleetSimulation.run(
            scenario,
            start -> {
              networks.add(start.network());
              return made.apply(start);
            },
            line -> {});
    return new Cost(
        result,
        count(networks, Counters.Name.PROBES_SENT),
        count(networks, Counters.Name.HOST_CONNECTIONS_OPENED));
  }

  private static long count(List<Network> networks, Counters.Name name) {
    return networks.stream().mapToLong(network -> network.counters().get(name)).sum();
  }

  /**
   * A gateway that takes itself for the only one, which switches off what it leaves to the others.
   */
  private static Gateway alone(FleetSimulation.GatewayParts start) {
    GatewayConfig config = start.config();
    RoutingSettings settings = config.settings();
    return start.withConfig(
        new GatewayConfig(
            config.name(),
            config.listenAddress(),
            config.discoveryAddress(),
            config.seed(),
            config.maxSockets(),
            config.maxOpenRequests(),
            new RoutingSettings(
                new GatewayIdentity(0, 1, settings.gateway().zone()),
                settings.tickMicros(),
                settings.requestClasses(),
                new ConsistencySettings(
                    settings.consistency().lagCheck(),
                    settings.consistency().lagWaitMicros(),
                    settings.consistency().responsesCarryPosition(),
                    settings.consistency().clientsCarryPosition()),
                new EndpointListSettings(
                    settings.endpointList().listedRoles(), settings.endpointList().polled()),
                settings.loadReportSource(),
                settings.safetyRules(),
                settings.limits(),
                settings.crossZoneCost(),
                settings.healthCheckCost()),
            config.knownEndpoints()));
  }

  /** Two sets of six hosts, ten requests a second at each gateway. */
  private static Scenario day(Fault... faults) {
    ReplicaSetParameters parameters =
        new ReplicaSetParameters(
            8,
            60,
            800,
            6_000,
            9_000,
            0.5,
            1_000,
            20_000,
            300,
            0.21,
            18 * SECOND,
            SECOND,
            SECOND / 2,
            2 * SECOND,
            ReplicaSetParameters.Check.WAIT,
            50_000,
            4,
            2 * SECOND,
            false);
    return new Scenario(
        11,
        GATEWAYS,
        2,
        6,
        10.0 * GATEWAYS,
        8 * SECOND,
        parameters,
        new Weather(300, 700, 0.1),
        SECOND / 2,
        RandomDeployment.plain(false),
        Means.PLAIN,
        List.of(faults));
  }

  @Test
  void halvesCostForHostsWhenGatewaysKnowTheirNumber() {
    Cost together = cost(day(), FleetSimulation.GatewayParts::unmodified);
    Cost alone = cost(day(), FleetSizeSimulationTest::alone);
    assertEquals(List.of(), together.result().violations());
    assertTrue(
        together.result().servedValueFraction() > alone.result().servedValueFraction() - 0.01,
        together.result().servedValueFraction()
            + " kept, alone "
            + alone.result().servedValueFraction());
    String figures =
        together.probes()
            + " probes, "
            + together.connections()
            + " connections; alone "
            + alone.probes()
            + " and "
            + alone.connections();
    assertTrue(together.probes() * 2 < alone.probes(), figures);
    assertTrue(together.connections() * 1.4 < alone.connections(), figures);
  }

  /** Hosts that restart cold, one of them a primary, while a fifth of the gateways are killed. */
  @Test
  void keepsRulesWhenHostsAndGatewaysRestart() {
    Fault[] faults = new Fault[23];
    for (int i = 0; i < 20; i++) {
      faults[i] = new Fault(3 * SECOND, FaultKind.KILL_GATEWAY, i * 5, SECOND);
    }
    faults[20] = new Fault(2 * SECOND, FaultKind.KILL_BOX, 1, SECOND / 4);
    faults[21] = new Fault(3 * SECOND, FaultKind.KILL_BOX, 8, SECOND / 4);
    faults[22] = new Fault(4 * SECOND, FaultKind.KILL_PRIMARY, 0, SECOND / 4);
    Cost cost = cost(day(faults), FleetSimulation.GatewayParts::unmodified);
    assertEquals(List.of(), cost.result().violations());
    assertTrue(
        cost.result().servedValueFraction() > 0.85,
        "worth kept " + cost.result().servedValueFraction());
  }
}

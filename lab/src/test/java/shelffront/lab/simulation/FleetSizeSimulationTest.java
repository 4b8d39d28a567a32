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

/** Tests the load that a hundred gateways with little traffic cause on their hosts. */
class FleetSizeSimulationTest {

  private static final long SECOND = 1_000_000;
  private static final int GATEWAYS = 100;

  /** The result of a run, with the health checks and host connections of all gateways. */
  private record Cost(FleetSimulation.Result result, long probes, long connections) {}

  private static Cost cost(
      Scenario scenario, Function<FleetSimulation.GatewayParts, Gateway> factory) {
    List<Network> networks = new ArrayList<>();
    FleetSimulation.Result result =
        FleetSimulation.run(
            scenario,
            parts -> {
              networks.add(parts.network());
              return factory.apply(parts);
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
   * Creates a gateway that is configured as the only one and therefore does not share health checks
   * and connections with others.
   */
  private static Gateway independent(FleetSimulation.GatewayParts parts) {
    GatewayConfig config = parts.config();
    RoutingSettings settings = config.settings();
    return parts.withConfig(
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

  /** Two replica sets of six hosts, and ten requests per second at each gateway. */
  private static Scenario scenario(Fault... faults) {
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
    Cost coordinated = cost(scenario(), FleetSimulation.GatewayParts::unmodified);
    Cost independent = cost(scenario(), FleetSizeSimulationTest::independent);
    assertEquals(List.of(), coordinated.result().violations());
    assertTrue(
        coordinated.result().servedValueFraction()
            > independent.result().servedValueFraction() - 0.01,
        coordinated.result().servedValueFraction()
            + " of the value served; with independent gateways "
            + independent.result().servedValueFraction());
    String message =
        coordinated.probes()
            + " health checks, "
            + coordinated.connections()
            + " connections; with independent gateways "
            + independent.probes()
            + " and "
            + independent.connections();
    assertTrue(coordinated.probes() * 2 < independent.probes(), message);
    assertTrue(coordinated.connections() * 1.4 < independent.connections(), message);
  }

  /** Hosts restart and warm up, one of them a primary, while a fifth of the gateways are killed. */
  @Test
  void keepsRulesWhenHostsAndGatewaysRestart() {
    Fault[] faults = new Fault[23];
    for (int i = 0; i < 20; i++) {
      faults[i] = new Fault(3 * SECOND, FaultKind.KILL_GATEWAY, i * 5, SECOND);
    }
    faults[20] = new Fault(2 * SECOND, FaultKind.KILL_BOX, 1, SECOND / 4);
    faults[21] = new Fault(3 * SECOND, FaultKind.KILL_BOX, 8, SECOND / 4);
    faults[22] = new Fault(4 * SECOND, FaultKind.KILL_PRIMARY, 0, SECOND / 4);
    Cost cost = cost(scenario(faults), FleetSimulation.GatewayParts::unmodified);
    assertEquals(List.of(), cost.result().violations());
    assertTrue(
        cost.result().servedValueFraction() > 0.85,
        "served value fraction " + cost.result().servedValueFraction());
  }
}

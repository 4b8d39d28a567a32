package shelffront.lab.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import shelffront.lab.model.ReplicaSetParameters;
import shelffront.lab.simulation.Scenario.Fault;
import shelffront.lab.simulation.Scenario.FaultKind;
import shelffront.lab.simulation.Scenario.Means;
import shelffront.lab.simulation.ScenarioShrinker.Cut;
import shelffront.lab.virtual.VirtualNetwork.Weather;

/**
 * Tests that simulation runs are reproducible, that the gateway keeps all invariants on a fixed set
 * of seeds and in selected scenarios, and that failing scenarios are reduced.
 */
class FleetSimulationTest {

  private static final long SECOND = 1_000_000;

  /** Returns the event trace hashes of a few seeds; {@link #main} prints them for comparison. */
  private static List<String> hashes() {
    return LongStream.of(3, 11, 25, 66)
        .mapToObj(
            seed -> FleetSimulation.run(Scenario.draw(seed).shortened(0.5, 4 * SECOND)).hash())
        .toList();
  }

  public static void main(String[] arguments) {
    hashes().forEach(System.out::println);
  }

  @Test
  void repeatsRunOfSeedInAnotherProcess() throws Exception {
    List<String> here = hashes();
    assertEquals(here, hashes(), "second run in the same process");
    Process child =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                FleetSimulationTest.class.getName())
            .redirectErrorStream(true)
            .start();
    String printed = new String(child.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    assertTrue(child.waitFor(60, TimeUnit.SECONDS));
    assertEquals(String.join("\n", here), printed.strip(), "run in another process");
    assertNotEquals(
        here.get(0), FleetSimulation.run(Scenario.draw(3).shortened(0.5, 3 * SECOND)).hash());
  }

  /** The seeds include all that have revealed a defect of the gateway or of the lab. */
  @Test
  void keepsEveryRuleOnFixedSeeds() {
    LongStream.rangeClosed(1, 60)
        .parallel()
        .forEach(
            seed -> {
              FleetSimulation.Result result =
                  FleetSimulation.run(Scenario.draw(seed).shortened(0.6, 6 * SECOND));
              assertEquals(List.of(), result.violations(), "seed " + seed);
            });
  }

  /**
   * If only one of at least five faults causes a failure, the scenario is reduced to this fault and
   * a short run.
   */
  @Test
  void shrinksFailingSeed() {
    long seed =
        LongStream.range(1, 500)
            .filter(
                candidate ->
                    Scenario.draw(candidate).faults().size() >= 5
                        && Scenario.draw(candidate).faults().stream()
                                .filter(fault -> fault.kind() == FaultKind.KILL_BOX)
                                .count()
                            == 1)
            .findFirst()
            .orElseThrow();
    Cut cut =
        ScenarioShrinker.shrink(
            seed,
            scenario ->
                scenario.faults().stream().anyMatch(fault -> fault.kind() == FaultKind.KILL_BOX)
                    && scenario.length() > 2 * SECOND);
    assertEquals(1, cut.faults().size());
    assertTrue(cut.length() < 4 * SECOND && cut.rate() < 0.05, cut.toString());
    assertEquals(FaultKind.KILL_BOX, cut.of(seed).faults().get(0).kind());
    assertTrue(cut.command(seed).contains("replay " + seed + " --faults " + cut.faults().get(0)));
  }

  private static Scenario scenario(
      int gateways,
      double perSecond,
      ReplicaSetParameters.Check check,
      boolean losesTail,
      Fault... faults) {
    ReplicaSetParameters parameters =
        new ReplicaSetParameters(
            8,
            60,
            400,
            3_000,
            6_000,
            0.5,
            1_000,
            20_000,
            300,
            0.21,
            18 * SECOND,
            SECOND,
            SECOND / 2,
            2 * SECOND,
            check,
            50_000,
            4,
            2 * SECOND,
            losesTail);
    return new Scenario(
        5,
        gateways,
        2,
        4,
        perSecond,
        8 * SECOND,
        parameters,
        new Weather(300, 700, 0.1),
        SECOND / 2,
        RandomDeployment.plain(true),
        Means.PLAIN,
        List.of(faults));
  }

  /** Three gateways, eight hosts and 1,500 requests per second, without faults. */
  @Test
  void servesNearlyAllValueWithoutFaults() {
    FleetSimulation.Result result =
        FleetSimulation.run(scenario(3, 1500, ReplicaSetParameters.Check.WAIT, false));
    assertEquals(List.of(), result.violations());
    assertTrue(result.requests() > 10_000, "requests " + result.requests());
    assertTrue(
        result.servedValueFraction() > 0.99,
        "served value fraction " + result.servedValueFraction());
  }

  /**
   * The promotion of a replica discards log entries that it has not received. The lost writes are
   * attributed to the replica set and are no violation by the gateway.
   */
  @Test
  void keepsRulesWhenPrimaryLosesItsLogTail() {
    FleetSimulation.Result result =
        FleetSimulation.run(
            scenario(
                2,
                800,
                ReplicaSetParameters.Check.SILENT,
                true,
                new Fault(2 * SECOND, FaultKind.KILL_PRIMARY, 0, SECOND),
                new Fault(5 * SECOND, FaultKind.KILL_PRIMARY, 1, SECOND)));
    assertEquals(List.of(), result.violations());
  }

  /** The clocks of the gateways step by 20 ms under load: twice back and once forward. */
  @Test
  void keepsRulesWhenClocksStep() {
    FleetSimulation.Result result =
        FleetSimulation.run(
            scenario(
                2,
                800,
                ReplicaSetParameters.Check.WAIT,
                false,
                new Fault(2 * SECOND, FaultKind.STEP_CLOCK, 0, SECOND),
                new Fault(3 * SECOND, FaultKind.STEP_CLOCK, 1, SECOND),
                new Fault(4 * SECOND, FaultKind.STEP_CLOCK, 2, SECOND)));
    assertEquals(List.of(), result.violations());
    assertTrue(
        result.servedValueFraction() > 0.9,
        "served value fraction " + result.servedValueFraction());
  }

  /**
   * Four gateways without coordination send requests to a host that warms up. Together they must
   * not overload it.
   */
  @Test
  void doesNotOverloadWarmingHostFromIndependentGateways() {
    ReplicaSetParameters parameters =
        new ReplicaSetParameters(
            4,
            60,
            400,
            5_000,
            8_000,
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
            1.5,
            2 * SECOND,
            false);
    Scenario scenario =
        new Scenario(
            8,
            4,
            1,
            3,
            900,
            10 * SECOND,
            parameters,
            new Weather(300, 700, 0.1),
            SECOND / 2,
            RandomDeployment.plain(false),
            Means.PLAIN,
            List.of(
                new Fault(2 * SECOND, FaultKind.KILL_BOX, 1, SECOND / 4),
                new Fault(6 * SECOND, FaultKind.KILL_BOX, 2, SECOND / 4)));
    FleetSimulation.Result result = FleetSimulation.run(scenario);
    assertEquals(List.of(), result.violations());
    assertTrue(
        result.servedValueFraction() > 0.8,
        "served value fraction " + result.servedValueFraction());
  }

  /**
   * Bursts hit eight gateways at the same time, each with up to 150 client connections: over a
   * thousand connections in total.
   */
  @Test
  void keepsRulesWithThousandConnectionsAtOnce() {
    Fault[] bursts = new Fault[8];
    for (int i = 0; i < bursts.length; i++) {
      bursts[i] = new Fault(2 * SECOND, FaultKind.BURST, i, SECOND);
    }
    FleetSimulation.Result result =
        FleetSimulation.run(scenario(8, 2500, ReplicaSetParameters.Check.REFUSE, false, bursts));
    assertEquals(List.of(), result.violations());
    assertTrue(result.requests() > 20_000, "requests " + result.requests());
  }

  /**
   * Responses to writes are lost after the writes took effect. Such a write either fails or is
   * served by a retry within its deduplication window, but never takes effect twice.
   */
  @Test
  void doesNotRepeatWriteWhoseAnswerIsLost() {
    Fault[] resets = new Fault[12];
    for (int i = 0; i < resets.length; i++) {
      resets[i] =
          new Fault(
              SECOND + i * SECOND / 2,
              i % 2 == 0 ? FaultKind.RESET_BOX : FaultKind.SPOIL_BOX,
              i % 8,
              SECOND / 2);
    }
    FleetSimulation.Result result =
        FleetSimulation.run(scenario(2, 1000, ReplicaSetParameters.Check.WAIT, false, resets));
    assertEquals(List.of(), result.violations());
    assertTrue(
        result.byClass().get("once-write").failed() > 0,
        "no response to a non-idempotent write was lost");
  }

  /**
   * Guards against connections that end while they are accepted and stay registered: the gateway
   * then never stops.
   */
  @Test
  void releasesEverythingOfMisbehavingClients() {
    Fault[] misbehaving = new Fault[40];
    for (int i = 0; i < misbehaving.length; i++) {
      misbehaving[i] = new Fault(SECOND + i * SECOND / 8, FaultKind.GARBAGE, i, SECOND);
    }
    assertEquals(
        List.of(),
        FleetSimulation.run(scenario(2, 400, ReplicaSetParameters.Check.WAIT, false, misbehaving))
            .violations());
  }

  /**
   * About five thousand clients connect and stay idle, on gateways that accept only part of them.
   * The other clients are still served.
   */
  @Test
  void keepsRulesWithFiveThousandIdleConnections() {
    Fault[] crowds = new Fault[5];
    for (int i = 0; i < crowds.length; i++) {
      crowds[i] = new Fault(2 * SECOND, FaultKind.IDLE_CROWD, i, SECOND);
    }
    FleetSimulation.Result result =
        FleetSimulation.run(scenario(5, 1000, ReplicaSetParameters.Check.REFUSE, false, crowds));
    assertEquals(List.of(), result.violations());
    assertTrue(
        result.servedValueFraction() > 0.9,
        "served value fraction " + result.servedValueFraction());
  }

  /** Repeated SIGHUPs change the discovery address under load, with broken watches in between. */
  @Test
  void keepsRulesWhenReloadedUnderLoad() {
    Fault[] reloads = new Fault[30];
    for (int i = 0; i < reloads.length; i++) {
      reloads[i] =
          new Fault(
              SECOND + i * SECOND / 6,
              i % 3 == 2 ? FaultKind.BREAK_WATCHES : FaultKind.RELOAD,
              i,
              SECOND);
    }
    FleetSimulation.Result result =
        FleetSimulation.run(scenario(2, 600, ReplicaSetParameters.Check.WAIT, false, reloads));
    assertEquals(List.of(), result.violations());
    assertTrue(
        result.servedValueFraction() > 0.95,
        "served value fraction " + result.servedValueFraction());
  }

  private static Scenario multiTenant(int loops, Fault... faults) {
    Scenario scenario = scenario(2, 400, ReplicaSetParameters.Check.WAIT, false, faults);
    return new Scenario(
        scenario.seed(),
        scenario.gateways(),
        scenario.sets(),
        scenario.boxes(),
        scenario.perSecond(),
        scenario.length(),
        scenario.figures(),
        scenario.weather(),
        scenario.listDelay(),
        scenario.deployment(),
        Means.hosted(3, loops),
        scenario.faults());
  }

  /**
   * Guards against a drain that asks idle clients on other event loops to disconnect only after
   * they have disconnected: the gateway then never stops.
   */
  @Test
  void stopsMultiTenantGatewayWithIdleClientsOnEveryLoop() {
    FleetSimulation.Result result =
        FleetSimulation.run(
            multiTenant(
                3,
                new Fault(2 * SECOND, FaultKind.STOP_GATEWAY, 0, SECOND),
                new Fault(5 * SECOND, FaultKind.STOP_GATEWAY, 1, SECOND)));
    assertEquals(List.of(), result.violations());
    assertTrue(
        result.servedValueFraction() > 0.95,
        "served value fraction " + result.servedValueFraction());
  }

  /**
   * Tenants are removed and created again, and their weights and drained hosts change, under load,
   * with killed hosts and misbehaving clients.
   */
  @Test
  void keepsRulesWhenAdministeredUnderLoad() {
    FaultKind[] kinds = {
      FaultKind.REMOVE_TENANT,
      FaultKind.CHANGE_TENANT,
      FaultKind.DRAIN_BY_TENANT,
      FaultKind.KILL_BOX,
      FaultKind.GARBAGE
    };
    Fault[] faults = new Fault[30];
    for (int i = 0; i < faults.length; i++) {
      faults[i] = new Fault(SECOND + i * SECOND / 6, kinds[i % kinds.length], i * 5, SECOND / 2);
    }
    for (int loops = 1; loops <= 3; loops++) {
      assertEquals(
          List.of(),
          FleetSimulation.run(multiTenant(loops, faults)).violations(),
          loops + " loops");
    }
  }
}

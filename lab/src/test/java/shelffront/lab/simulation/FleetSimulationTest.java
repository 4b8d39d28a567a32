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
 * The virtual fleet: the same run each time, every rule kept on a fixed set of seeds, failures cut
 * down.
 */
class FleetSimulationTest {

  private static final long SECOND = 1_000_000;

  /** Hashes of everything that happened, of a few seeds: printed by {@link #main}, and compared. */
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
    assertEquals(here, hashes(), "in one process");
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
    assertEquals(String.join("\n", here), printed.strip(), "in another process");
    assertNotEquals(
        here.get(0), FleetSimulation.run(Scenario.draw(3).shortened(0.5, 3 * SECOND)).hash());
  }

  /** Among them each that has shown a fault of the gateway or of the lab, and what it was. */
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
   * A fault that one of five faults of the day brings out is cut down to that one and a short run.
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

  private static Scenario day(
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

  /** Three gateways, eight boxes and 1,500 requests a second, many at once when a crowd comes. */
  @Test
  void servesEverythingOnQuietDay() {
    FleetSimulation.Result result =
        FleetSimulation.run(day(3, 1500, ReplicaSetParameters.Check.WAIT, false));
    assertEquals(List.of(), result.violations());
    assertTrue(result.requests() > 10_000, "requests " + result.requests());
    assertTrue(result.servedValueFraction() > 0.99, "worth kept " + result.servedValueFraction());
  }

  /**
   * A replica is promoted without the end of the log; what was lost is the set's loss, and told as
   * no one's.
   */
  @Test
  void keepsRulesWhenPrimaryLosesItsLogTail() {
    FleetSimulation.Result result =
        FleetSimulation.run(
            day(
                2,
                800,
                ReplicaSetParameters.Check.SILENT,
                true,
                new Fault(2 * SECOND, FaultKind.KILL_PRIMARY, 0, SECOND),
                new Fault(5 * SECOND, FaultKind.KILL_PRIMARY, 1, SECOND)));
    assertEquals(List.of(), result.violations());
  }

  /** A clock that steps 20 ms either way under load, twice. */
  @Test
  void keepsRulesWhenClocksStep() {
    FleetSimulation.Result result =
        FleetSimulation.run(
            day(
                2,
                800,
                ReplicaSetParameters.Check.WAIT,
                false,
                new Fault(2 * SECOND, FaultKind.STEP_CLOCK, 0, SECOND),
                new Fault(3 * SECOND, FaultKind.STEP_CLOCK, 1, SECOND),
                new Fault(4 * SECOND, FaultKind.STEP_CLOCK, 2, SECOND)));
    assertEquals(List.of(), result.violations());
    assertTrue(result.servedValueFraction() > 0.9, "worth kept " + result.servedValueFraction());
  }

  /**
   * Four gateways, each by itself, before a box that starts cold: together they do not push it
   * over.
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
    Scenario day =
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
    FleetSimulation.Result result = FleetSimulation.run(day);
    assertEquals(List.of(), result.violations());
    assertTrue(result.servedValueFraction() > 0.8, "worth kept " + result.servedValueFraction());
  }

  /**
   * Eight crowds come at once, each with more than its gateway has connections open: over a
   * thousand together.
   */
  @Test
  void keepsRulesWithThousandConnectionsAtOnce() {
    Fault[] bursts = new Fault[8];
    for (int i = 0; i < bursts.length; i++) {
      bursts[i] = new Fault(2 * SECOND, FaultKind.BURST, i, SECOND);
    }
    FleetSimulation.Result result =
        FleetSimulation.run(day(8, 2500, ReplicaSetParameters.Check.REFUSE, false, bursts));
    assertEquals(List.of(), result.violations());
    assertTrue(result.requests() > 20_000, "requests " + result.requests());
  }

  /**
   * The answer to a write is lost after it took effect: told failed or served by a repeat, never
   * twice done.
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
        FleetSimulation.run(day(2, 1000, ReplicaSetParameters.Check.WAIT, false, resets));
    assertEquals(List.of(), result.violations());
    assertTrue(result.byClass().get("once-write").failed() > 0, "no write's answer was lost");
  }

  /**
   * A connection that ended while it was accepted stayed in the books for ever, and the gateway
   * never stopped.
   */
  @Test
  void releasesEverythingOfMisbehavingClients() {
    Fault[] rude = new Fault[40];
    for (int i = 0; i < rude.length; i++) {
      rude[i] = new Fault(SECOND + i * SECOND / 8, FaultKind.GARBAGE, i, SECOND);
    }
    assertEquals(
        List.of(),
        FleetSimulation.run(day(2, 400, ReplicaSetParameters.Check.WAIT, false, rude))
            .violations());
  }

  /**
   * Five thousand that connect and say nothing, on gateways that take a fraction: the others are
   * still served.
   */
  @Test
  void keepsRulesWithFiveThousandIdleConnections() {
    Fault[] crowds = new Fault[5];
    for (int i = 0; i < crowds.length; i++) {
      crowds[i] = new Fault(2 * SECOND, FaultKind.IDLE_CROWD, i, SECOND);
    }
    FleetSimulation.Result result =
        FleetSimulation.run(day(5, 1000, ReplicaSetParameters.Check.REFUSE, false, crowds));
    assertEquals(List.of(), result.violations());
    assertTrue(result.servedValueFraction() > 0.9, "worth kept " + result.servedValueFraction());
  }

  /** SIGHUP with another address of discovery, again and again, under load and broken watches. */
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
        FleetSimulation.run(day(2, 600, ReplicaSetParameters.Check.WAIT, false, reloads));
    assertEquals(List.of(), result.violations());
    assertTrue(result.servedValueFraction() > 0.95, "worth kept " + result.servedValueFraction());
  }

  private static Scenario hosted(int loops, Fault... faults) {
    Scenario scenario = day(2, 400, ReplicaSetParameters.Check.WAIT, false, faults);
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
   * Idle clients on other loops kept a gateway from stopping: they were told to go only once they
   * had gone.
   */
  @Test
  void stopsMultiTenantGatewayWithIdleClientsOnEveryLoop() {
    FleetSimulation.Result result =
        FleetSimulation.run(
            hosted(
                3,
                new Fault(2 * SECOND, FaultKind.STOP_GATEWAY, 0, SECOND),
                new Fault(5 * SECOND, FaultKind.STOP_GATEWAY, 1, SECOND)));
    assertEquals(List.of(), result.violations());
    assertTrue(result.servedValueFraction() > 0.95, "worth kept " + result.servedValueFraction());
  }

  /**
   * Tenants removed and made anew, their weight and boxes changed, under load, kills and bad
   * clients.
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
          List.of(), FleetSimulation.run(hosted(loops, faults)).violations(), loops + " loops");
    }
  }
}

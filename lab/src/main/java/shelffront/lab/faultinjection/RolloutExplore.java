package shelffront.lab.faultinjection;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.awaitility.core.ConditionTimeoutException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Runs one randomized fault schedule per seed on gateway processes and checks their rollout
 * histories for violations.
 */
@Command(
    name = "stage-explore",
    mixinStandardHelpOptions = true,
    description = {
      "Runs gateways and a coordination store as processes, requests stage changes of a subject,"
          + " and injects",
      "faults drawn from a seed: connections cut in one or both directions, slowed or reset;"
          + " gateways suspended,",
      "killed, terminated and restarted; a store that restarts, loses its leader or corrupts its"
          + " responses.",
      "Afterwards all faults are cleared, and every gateway must reach the target stage.",
      "Exit codes: 0 no violation, 1 a seed failed; the output has the command that reproduces it."
    })
public final class RolloutExplore implements Callable<Integer> {

  private static final List<String> STAGES = List.of("one", "two", "three", "four");
  private static final int STEPS_PER_SEED = 12;

  @Option(names = "--seeds", defaultValue = "5", description = "number of seeds (${DEFAULT-VALUE})")
  private int seeds;

  @Option(names = "--from", defaultValue = "1", description = "the first seed (${DEFAULT-VALUE})")
  private long firstSeed;

  @Option(
      names = "--gateways",
      defaultValue = "4",
      description = "gateway processes (${DEFAULT-VALUE})")
  private int gateways;

  @Option(
      names = "--lease-ms",
      defaultValue = "1200",
      description = "lease duration (${DEFAULT-VALUE})")
  private long leaseMs;

  @Option(
      names = "--odd-lease-ms",
      defaultValue = "0",
      description =
          "a wrong lease duration for the first gateway, which the checker must detect (0: same"
              + " as --lease-ms)")
  private long oddLeaseMs;

  @Override
  public Integer call() throws IOException, InterruptedException {
    int failed = 0;
    int stageChanges = 0;
    for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
      Path directory = Files.createTempDirectory("stages-" + seed + "-");
      List<String> steps = new ArrayList<>();
      List<String> violations;
      int count = 0;
      try (FaultInjectionHarness harness = new FaultInjectionHarness(directory)) {
        try {
          runSchedule(harness, seed, steps);
        } catch (ConditionTimeoutException e) {
          steps.add("did not converge: " + e.getMessage());
        }
        RolloutHistoryChecker histories = harness.histories();
        violations = new ArrayList<>(histories.violations());
        count = histories.moves();
      }
      steps.stream().filter(step -> step.startsWith("did not converge")).forEach(violations::add);
      stageChanges += count;
      System.out.printf(
          Locale.ROOT, "seed %d: %d stage changes, %s%n", seed, count, String.join(", ", steps));
      if (!violations.isEmpty()) {
        failed++;
        violations.stream().limit(5).forEach(violation -> System.out.println("  " + violation));
        System.out.println(
            "  reproduce with: java -jar lab/target/shelffront-lab.jar stage-explore --from "
                + seed
                + " --seeds 1 --gateways "
                + gateways
                + " --lease-ms "
                + leaseMs
                + " --odd-lease-ms "
                + oddLeaseMs);
      }
    }
    System.out.printf("%d seeds, %d stage changes, %d failed%n", seeds, stageChanges, failed);
    return failed == 0 ? 0 : 1;
  }

  private void runSchedule(FaultInjectionHarness harness, long seed, List<String> steps)
      throws IOException, InterruptedException {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    for (int i = 0; i < gateways; i++) {
      harness.add(i == 0 && oddLeaseMs > 0 ? oddLeaseMs : leaseMs);
    }
    harness.awaitStage("one");
    boolean[] suspended = new boolean[gateways];
    for (int step = 0; step < STEPS_PER_SEED; step++) {
      int number = random.nextInt(gateways);
      FaultInjectionHarness.GatewayProcess gateway = harness.gateways().get(number);
      int kind = random.nextInt(11);
      // Draws every value of the step even if it is unused, so that a seed gives the same schedule.
      boolean forward = random.nextBoolean();
      String stage = STAGES.get(random.nextInt(STAGES.size()));
      int requested = random.nextInt(gateways);
      long holdMillis = random.nextLong(leaseMs);
      steps.add(performStep(harness, gateway, number, kind, forward, suspended));
      if (!suspended[requested] && harness.gateways().get(requested).isReady()) {
        steps.add(
            "g"
                + requested
                + " "
                + harness.gateways().get(requested).requestStage(stage)
                + " "
                + stage);
      }
      long deadlineNanos = System.nanoTime() + holdMillis * 1_000_000;
      harness.await(
          "the next step of the schedule is due", () -> System.nanoTime() >= deadlineNanos);
    }
    harness.injectStoreFault("");
    for (int i = 0; i < gateways; i++) {
      FaultInjectionHarness.GatewayProcess gateway = harness.gateways().get(i);
      gateway.proxy().heal();
      if (suspended[i]) {
        gateway.signal("CONT");
      }
      if (!gateway.isUp()) {
        gateway.start();
      }
    }
    FaultInjectionHarness.GatewayProcess any = harness.gateways().get(0);
    harness.await(
        "the target stage is accepted", () -> any.isReady() && any.requestStage("three") == 200);
    harness.awaitStage("three");
  }

  private static String performStep(
      FaultInjectionHarness harness,
      FaultInjectionHarness.GatewayProcess gateway,
      int number,
      int kind,
      boolean forward,
      boolean[] suspended)
      throws IOException, InterruptedException {
    String name = " g" + number;
    switch (kind) {
      case 0 -> gateway.proxy().cut(true, true);
      case 1 -> gateway.proxy().cut(forward, !forward);
      case 2 -> gateway.proxy().heal();
      case 3 -> gateway.proxy().slow(20, 100);
      case 4 -> gateway.proxy().reset();
      case 5 -> {
        gateway.signal(suspended[number] ? "CONT" : "STOP");
        suspended[number] = !suspended[number];
      }
      case 6 -> {
        gateway.kill();
        suspended[number] = false;
        gateway.start();
      }
      case 7 -> {
        if (!suspended[number] && gateway.isUp()) {
          gateway.terminate();
          gateway.start();
        }
      }
      case 8 -> harness.restartStore();
      case 9 -> harness.injectStoreFault(forward ? "leader=no" : "garble");
      default -> harness.injectStoreFault(forward ? "late=100" : "");
    }
    return List.of(
                "cut",
                "cut one way",
                "heal",
                "slow",
                "reset",
                "stop or wake",
                "kill",
                "end",
                "engine restarts",
                "engine fails",
                "engine late or well")
            .get(kind)
        + name;
  }
}

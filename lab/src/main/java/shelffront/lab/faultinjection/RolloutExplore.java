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
  private static final int STEPS = 12;

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
    int moves = 0;
    for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
      Path directory = Files.createTempDirectory("stages-" + seed + "-");
      List<String> steps = new ArrayList<>();
      List<String> broken;
      int count = 0;
      try (FaultInjectionHarness harness = new FaultInjectionHarness(directory)) {
        try {
          play(harness, seed, steps);
        } catch (ConditionTimeoutException e) {
          steps.add("did not converge: " + e.getMessage());
        }
        RolloutHistoryChecker all = harness.histories();
        broken = new ArrayList<>(all.violations());
        count = all.moves();
      }
      steps.stream().filter(step -> step.startsWith("did not converge")).forEach(broken::add);
      moves += count;
      System.out.printf(
          Locale.ROOT, "seed %d: %d stage changes, %s%n", seed, count, String.join(", ", steps));
      if (!broken.isEmpty()) {
        failed++;
        broken.stream().limit(5).forEach(violation -> System.out.println("  " + violation));
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
    System.out.printf("%d seeds, %d stage changes, %d failed%n", seeds, moves, failed);
    return failed == 0 ? 0 : 1;
  }

  private void play(FaultInjectionHarness harness, long seed, List<String> steps)
      throws IOException, InterruptedException {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    for (int i = 0; i < gateways; i++) {
      harness.add(i == 0 && oddLeaseMs > 0 ? oddLeaseMs : leaseMs);
    }
    harness.awaitStage("one");
    boolean[] stopped = new boolean[gateways];
    for (int step = 0; step < STEPS; step++) {
      int number = random.nextInt(gateways);
      FaultInjectionHarness.GatewayProcess node = harness.gateways().get(number);
      int what = random.nextInt(11);
      // Draws every value of the step even if it is unused, so that a seed gives the same schedule.
      boolean there = random.nextBoolean();
      String stage = STAGES.get(random.nextInt(STAGES.size()));
      int asked = random.nextInt(gateways);
      long hold = random.nextLong(leaseMs);
      steps.add(step(harness, node, number, what, there, stopped));
      if (!stopped[asked] && harness.gateways().get(asked).isReady()) {
        steps.add(
            "g" + asked + " " + harness.gateways().get(asked).requestStage(stage) + " " + stage);
      }
      long until = System.nanoTime() + hold * 1_000_000;
      harness.await("the next step of the schedule is due", () -> System.nanoTime() >= until);
    }
    harness.injectStoreFault("");
    for (int i = 0; i < gateways; i++) {
      FaultInjectionHarness.GatewayProcess node = harness.gateways().get(i);
      node.proxy().heal();
      if (stopped[i]) {
        node.signal("CONT");
      }
      if (!node.isUp()) {
        node.start();
      }
    }
    FaultInjectionHarness.GatewayProcess any = harness.gateways().get(0);
    harness.await(
        "the target stage is accepted", () -> any.isReady() && any.requestStage("three") == 200);
    harness.awaitStage("three");
  }

  private static String step(
      FaultInjectionHarness harness,
      FaultInjectionHarness.GatewayProcess node,
      int number,
      int what,
      boolean there,
      boolean[] stopped)
      throws IOException, InterruptedException {
    String name = " g" + number;
    switch (what) {
      case 0 -> node.proxy().cut(true, true);
      case 1 -> node.proxy().cut(there, !there);
      case 2 -> node.proxy().heal();
      case 3 -> node.proxy().slow(20, 100);
      case 4 -> node.proxy().reset();
      case 5 -> {
        node.signal(stopped[number] ? "CONT" : "STOP");
        stopped[number] = !stopped[number];
      }
      case 6 -> {
        node.kill();
        stopped[number] = false;
        node.start();
      }
      case 7 -> {
        if (!stopped[number] && node.isUp()) {
          node.terminate();
          node.start();
        }
      }
      case 8 -> harness.restartStore();
      case 9 -> harness.injectStoreFault(there ? "leader=no" : "garble");
      default -> harness.injectStoreFault(there ? "late=100" : "");
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
            .get(what)
        + name;
  }
}

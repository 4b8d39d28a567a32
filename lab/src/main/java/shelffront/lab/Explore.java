package shelffront.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicLong;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import shelffront.lab.simulation.FleetSimulation;
import shelffront.lab.simulation.Scenario;
import shelffront.lab.simulation.ScenarioShrinker;
import shelffront.lab.simulation.ScenarioShrinker.Cut;

/** Simulates random scenarios, one per seed, and checks the invariants in each. */
@Command(
    name = "explore",
    mixinStandardHelpOptions = true,
    description = {
      "Simulates a fleet in random scenarios and checks the invariants in each.",
      "Exit codes: 0 no violation, 1 violations; each failing seed is printed with a command that"
          + " replays it, reduced as far as it still fails."
    })
final class Explore implements Callable<Integer> {

  @Option(names = "--from", defaultValue = "1", description = "first seed (${DEFAULT-VALUE})")
  private long from;

  @Option(
      names = "--seeds",
      defaultValue = "100",
      description = "number of seeds (${DEFAULT-VALUE})")
  private int seeds;

  @Option(
      names = "--minutes",
      defaultValue = "10",
      description = "start no further simulation after this time (${DEFAULT-VALUE})")
  private double minutes;

  @Option(
      names = "--threads",
      defaultValue = "0",
      description = "worker threads, 0 for one per core (${DEFAULT-VALUE})")
  private int threads;

  @Option(names = "--no-shrink", description = "print failing seeds without reducing them")
  private boolean noShrink;

  private record FailedSeed(long seed, FleetSimulation.Result result) {}

  @Override
  public Integer call() throws Exception {
    int workers = threads > 0 ? threads : Runtime.getRuntime().availableProcessors();
    ExecutorService pool = Executors.newFixedThreadPool(workers);
    AtomicLong requests = new AtomicLong();
    AtomicLong events = new AtomicLong();
    AtomicLong simulatedMicros = new AtomicLong();
    AtomicLong simulatedSeeds = new AtomicLong();
    long startNanos = System.nanoTime();
    List<Future<FailedSeed>> runs = new ArrayList<>();
    for (int i = 0; i < seeds; i++) {
      long seed = from + i;
      runs.add(
          pool.submit(
              () -> {
                if (System.nanoTime() - startNanos > minutes * 60e9) {
                  return null;
                }
                Scenario scenario = Scenario.draw(seed);
                FleetSimulation.Result result = FleetSimulation.run(scenario);
                requests.addAndGet(result.requests());
                events.addAndGet(result.events());
                simulatedMicros.addAndGet(scenario.length());
                simulatedSeeds.incrementAndGet();
                return result.violationCount() > 0 ? new FailedSeed(seed, result) : null;
              }));
    }
    List<FailedSeed> failures = new ArrayList<>();
    for (Future<FailedSeed> run : runs) {
      FailedSeed failed = run.get();
      if (failed != null) {
        failures.add(failed);
      }
    }
    double tookSeconds = (System.nanoTime() - startNanos) / 1e9;
    Map<String, Integer> rules = new TreeMap<>();
    for (FailedSeed failure : failures) {
      failure.result().violations().stream()
          .map(violation -> violation.rule().name())
          .distinct()
          .forEach(rule -> rules.merge(rule, 1, Integer::sum));
    }
    System.out.printf(
        Locale.ROOT,
        "%d seeds, %d requests, %.0f simulated seconds in %.1f s on %d threads: %.1f"
            + " simulated seconds and %.0f requests per second and core%n",
        simulatedSeeds.get(),
        requests.get(),
        simulatedMicros.get() / 1e6,
        tookSeconds,
        workers,
        simulatedMicros.get() / 1e6 / tookSeconds / workers,
        requests.get() / tookSeconds / workers);
    System.out.println(failures.size() + " seeds violated an invariant: " + rules);
    for (FailedSeed failure : failures.subList(0, Math.min(10, failures.size()))) {
      Cut cut =
          noShrink
              ? ScenarioShrinker.whole(failure.seed())
              : ScenarioShrinker.shrink(
                  failure.seed(), s -> FleetSimulation.run(s).violationCount() > 0);
      FleetSimulation.Result least = FleetSimulation.run(cut.of(failure.seed()));
      System.out.println("seed " + failure.seed() + ": " + least.violations().get(0));
      System.out.println("    " + cut.command(failure.seed()));
    }
    pool.shutdownNow();
    return failures.isEmpty() ? 0 : 1;
  }

  /** Simulates the scenario of one seed, complete or reduced. */
  @Command(
      name = "replay",
      mixinStandardHelpOptions = true,
      description = {
        "Simulates the scenario of one seed.",
        "Exit codes: 0 no violation, 1 violations."
      })
  static final class Replay implements Callable<Integer> {

    @Parameters(paramLabel = "SEED")
    private long seed;

    @Option(
        names = "--faults",
        description = "comma-separated indexes of the faults to inject, or none; all by default")
    private String faults;

    @Option(
        names = "--rate",
        defaultValue = "1",
        description = "fraction of the requests (${DEFAULT-VALUE})")
    private double rate;

    @Option(names = "--seconds", defaultValue = "1000", description = "maximum simulated time")
    private double seconds;

    @Option(names = "--trace", description = "print the event trace")
    private boolean trace;

    @Override
    public Integer call() {
      Cut whole = ScenarioShrinker.whole(seed);
      List<Integer> selectedFaults = new ArrayList<>();
      if (faults != null && !faults.equals("none")) {
        for (String each : faults.split(",")) {
          selectedFaults.add(Integer.parseInt(each));
        }
      }
      Scenario scenario =
          new Cut(faults == null ? whole.faults() : selectedFaults, rate, (long) (seconds * 1e6))
              .of(seed);
      FleetSimulation.Result result =
          FleetSimulation.run(
              scenario,
              FleetSimulation.GatewayParts::unmodified,
              line -> {
                if (trace) {
                  System.out.println(line);
                }
              });
      System.out.println(scenario);
      result.byClass().forEach((name, outcomes) -> System.out.println(name + " " + outcomes));
      System.out.printf(
          Locale.ROOT,
          "served value %.3f, %d requests, %d events, hash %s%n",
          result.servedValueFraction(),
          result.requests(),
          result.events(),
          result.hash());
      result
          .violations()
          .forEach(
              violation ->
                  System.out.println("VIOLATION " + violation.atMicros() + " " + violation));
      System.out.println(result.violationCount() + " violations");
      return result.violationCount() == 0 ? 0 : 1;
    }
  }
}

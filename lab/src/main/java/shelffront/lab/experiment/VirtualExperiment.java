package shelffront.lab.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.HdrHistogram.Histogram;
import shelffront.lab.model.ReplicaSetParameters;
import shelffront.lab.simulation.FleetSimulation;
import shelffront.lab.simulation.RandomDeployment;
import shelffront.lab.simulation.Scenario;
import shelffront.lab.simulation.Scenario.Fault;
import shelffront.lab.simulation.Scenario.FaultKind;
import shelffront.lab.simulation.Scenario.Means;
import shelffront.lab.virtual.VirtualNetwork.Weather;
import shelffront.tenant.TenantSpecCodec;
import shelffront.tenant.TenantSpecCodec.SpecException;

/**
 * An experiment in simulation: a base scenario, levels that override parts of it, a number of
 * seeds, and claims about the results. Each level runs with each seed; the runs are distributed
 * over the cores. The directory of the experiment holds its runs, table and charts.
 */
public final class VirtualExperiment {

  private static final long MICROS_PER_SECOND = 1_000_000;

  /** A level of the experiment with its runs in the order of their seeds. */
  private record Level(String name, Scenario scenario, List<RecordedRun> runs) {

    double[] servedValueFractions() {
      return runs.stream().mapToDouble(RecordedRun::servedValueFraction).toArray();
    }

    int violationCount() {
      return runs.stream().mapToInt(RecordedRun::violationCount).sum();
    }

    Histogram latencyMicros() {
      Histogram all = new Histogram(60_000_000L, 3);
      runs.forEach(run -> all.add(run.latencyMicros()));
      return all;
    }
  }

  private final JsonNode file;
  private final List<Level> levels = new ArrayList<>();
  private final List<String> table = new ArrayList<>();
  private final List<String> claims = new ArrayList<>();
  private boolean claimsHold = true;

  private VirtualExperiment(JsonNode file) {
    this.file = file;
  }

  /**
   * Runs an experiment. Runs that the directory already holds of the same experiment and program
   * are reused, so an interrupted experiment resumes.
   *
   * @param directory null to store nothing
   */
  public static Experiment.Report run(JsonNode file, Path directory)
      throws IOException, SpecException, InterruptedException {
    VirtualExperiment experiment = new VirtualExperiment(file);
    RunJournal journal = RunJournal.open(directory, file);
    experiment.runAll(journal);
    journal.rewrite(experiment.levels.stream().flatMap(level -> level.runs().stream()).toList());
    return experiment.finish(directory);
  }

  /** Reports on the runs of a directory, and rewrites its summary and charts. */
  public static Experiment.Report report(Path directory) throws IOException, SpecException {
    JsonNode file =
        TenantSpecCodec.JSON.readTree(directory.resolve(RunJournal.EXPERIMENT_FILE).toFile());
    VirtualExperiment experiment = new VirtualExperiment(file);
    RunJournal journal = RunJournal.read(directory, file);
    for (Level level : experiment.plannedLevels()) {
      for (int seed = 1; seed <= experiment.seedCount(); seed++) {
        RecordedRun run = journal.get(level.name(), seed);
        if (run != null) {
          level.runs().add(run);
        }
      }
      if (!level.runs().isEmpty()) {
        experiment.levels.add(level);
      }
    }
    return experiment.finish(directory);
  }

  private Experiment.Report finish(Path directory) throws IOException {
    summarize();
    Experiment.Report report =
        new Experiment.Report(List.copyOf(table), List.copyOf(claims), claimsHold, false);
    if (directory != null) {
      save(directory, report);
    }
    return report;
  }

  private int seedCount() {
    return file.path("seeds").asInt(5);
  }

  private List<Level> plannedLevels() throws SpecException {
    List<Level> planned = new ArrayList<>();
    for (JsonNode level : file.path("levels")) {
      ObjectNode merged = file.path("base").deepCopy();
      merged.setAll((ObjectNode) level);
      planned.add(
          new Level(
              level.path("name").asText(),
              scenario(merged, "/levels/" + planned.size()),
              new ArrayList<>()));
    }
    return planned;
  }

  private void runAll(RunJournal journal) throws SpecException, InterruptedException, IOException {
    ExecutorService pool = Executors.newFixedThreadPool(Runtime.getRuntime().availableProcessors());
    try {
      Map<Level, List<Future<RecordedRun>>> out = new LinkedHashMap<>();
      List<Level> planned = plannedLevels();
      ProgressBar progress = new ProgressBar(planned.size() * seedCount());
      for (Level level : planned) {
        List<Future<RecordedRun>> runs = new ArrayList<>();
        for (int seed = 1; seed <= seedCount(); seed++) {
          int number = seed;
          Scenario one = level.scenario().withSeed(seed);
          runs.add(
              pool.submit(
                  () -> {
                    RecordedRun run = journal.get(level.name(), number);
                    if (run == null) {
                      run = RecordedRun.of(level.name(), number, FleetSimulation.run(one));
                      journal.add(run);
                    }
                    progress.runFinished();
                    return run;
                  }));
        }
        out.put(level, runs);
      }
      for (var each : out.entrySet()) {
        for (Future<RecordedRun> run : each.getValue()) {
          each.getKey().runs().add(run.get());
        }
        levels.add(each.getKey());
      }
    } catch (ExecutionException e) {
      throw new IllegalStateException("a run of the experiment failed", e.getCause());
    } finally {
      pool.shutdownNow();
    }
  }

  /** Reads a scenario. The defaults describe a small fleet without faults. */
  static Scenario scenario(JsonNode scenarioNode, String pointer) throws SpecException {
    List<Fault> faults = new ArrayList<>();
    for (JsonNode faultNode : scenarioNode.path("faults")) {
      try {
        faults.add(
            new Fault(
                micros(faultNode, "at", 1),
                FaultKind.valueOf(faultNode.path("kind").asText()),
                faultNode.path("target").asInt(0),
                micros(faultNode, "seconds", 1)));
      } catch (IllegalArgumentException e) {
        throw new SpecException(
            pointer + "/faults/" + faults.size() + "/kind",
            "is " + faultNode.path("kind") + ", expected one of " + List.of(FaultKind.values()));
      }
    }
    ReplicaSetParameters.Check check;
    try {
      check =
          ReplicaSetParameters.Check.valueOf(
              scenarioNode.path("check").asText("wait").toUpperCase(Locale.ROOT));
    } catch (IllegalArgumentException e) {
      throw new SpecException(
          pointer + "/check",
          "is " + scenarioNode.path("check") + ", expected one of silent, refuse, wait");
    }
    long work = scenarioNode.path("workUs").asLong(6_000);
    ReplicaSetParameters parameters =
        new ReplicaSetParameters(
            scenarioNode.path("cores").asInt(4),
            scenarioNode.path("room").asInt(40),
            scenarioNode.path("connections").asInt(200),
            work,
            work * 2,
            scenarioNode.path("sigma").asDouble(0.5),
            1_000,
            scenarioNode.path("shipUs").asLong(20_000),
            scenarioNode.path("applyUs").asLong(400),
            0.21,
            18 * MICROS_PER_SECOND,
            micros(scenarioNode, "electionSeconds", 1),
            micros(scenarioNode, "handOverSeconds", 0.5),
            2 * MICROS_PER_SECOND,
            check,
            50_000,
            4,
            2 * MICROS_PER_SECOND,
            scenarioNode.path("losesTail").asBoolean(false));
    return new Scenario(
        0,
        scenarioNode.path("gateways").asInt(2),
        scenarioNode.path("sets").asInt(1),
        scenarioNode.path("boxes").asInt(3),
        scenarioNode.path("perSecond").asDouble(200),
        micros(scenarioNode, "seconds", 8),
        parameters,
        new Weather(
            scenarioNode.path("latencyUs").asLong(300),
            scenarioNode.path("jitterUs").asLong(700),
            scenarioNode.path("chop").asDouble(0.1)),
        micros(scenarioNode, "listDelaySeconds", 1),
        deployment(scenarioNode),
        new Means(
            scenarioNode.path("sockets").asInt(1024),
            scenarioNode.path("gatewayWorkUs").asLong(0),
            scenarioNode.path("gatewayPauses").asDouble(0),
            scenarioNode.path("tenants").asInt(0),
            scenarioNode.path("loops").asInt(1),
            scenarioNode.path("clientConnections").asInt(Means.PLAIN.connections())),
        List.copyOf(faults));
  }

  private static RandomDeployment deployment(JsonNode scenarioNode) {
    boolean onceWrites = scenarioNode.path("onceWrites").asBoolean(false);
    return scenarioNode.path("carried").asBoolean(false)
        ? RandomDeployment.carrying(onceWrites)
        : RandomDeployment.plain(onceWrites);
  }

  private static long micros(JsonNode object, String name, double absent) {
    return (long) (object.path(name).asDouble(absent) * MICROS_PER_SECOND);
  }

  private Level level(String name) {
    return levels.stream()
        .filter(level -> level.name().equals(name))
        .findFirst()
        .orElseThrow(
            () ->
                new IllegalArgumentException(
                    "a claim names the level \""
                        + name
                        + "\", which is not in the file or has no runs"));
  }

  private void summarize() {
    table.add(
        "| level | runs | requests | worth kept (95 %) | worst run | p50 ms | p99 ms | p99.9 ms "
            + "| broken rules |");
    table.add("|---|---|---|---|---|---|---|---|---|");
    for (Level level : levels) {
      BootstrapInterval.Interval worth = BootstrapInterval.mean(level.servedValueFractions());
      Histogram latency = level.latencyMicros();
      table.add(
          String.format(
              Locale.ROOT,
              "| %s | %d | %d | %.3f (%.3f to %.3f) | %.3f | %.1f | %.1f | %.1f | %d |",
              level.name(),
              level.runs().size(),
              level.runs().stream().mapToLong(RecordedRun::requests).sum(),
              worth.mean(),
              worth.low(),
              worth.high(),
              level.runs().stream().mapToDouble(RecordedRun::servedValueFraction).min().orElse(0),
              latency.getValueAtPercentile(50) / 1e3,
              latency.getValueAtPercentile(99) / 1e3,
              latency.getValueAtPercentile(99.9) / 1e3,
              level.violationCount()));
    }
    for (JsonNode claim : file.path("claims")) {
      if (claim.has("rules")) {
        int broken = levels.stream().mapToInt(Level::violationCount).sum();
        recordClaim(broken == 0, broken + " rules broken in all runs");
        continue;
      }
      Level level = level(claim.path("level").asText());
      double low = BootstrapInterval.mean(level.servedValueFractions()).low();
      if (claim.has("worthAtLeast")) {
        double least = claim.path("worthAtLeast").asDouble();
        recordClaim(
            low >= least,
            String.format(
                Locale.ROOT,
                "%s keeps %.3f of its worth at least: %.3f wanted",
                level.name(),
                low,
                least));
      } else {
        Level other = level(claim.path("against").asText());
        BootstrapInterval.Interval less =
            BootstrapInterval.difference(
                other.servedValueFractions(), level.servedValueFractions());
        double within = claim.path("within").asDouble();
        recordClaim(
            less.high() <= within,
            String.format(
                Locale.ROOT,
                "%s keeps %.3f less than %s (%.3f to %.3f): %.3f at the most wanted",
                level.name(),
                less.mean(),
                other.name(),
                less.low(),
                less.high(),
                within));
      }
    }
  }

  private void recordClaim(boolean holds, String text) {
    claimsHold &= holds;
    claims.add((holds ? "kept: " : "NOT kept: ") + text);
  }

  private void save(Path directory, Experiment.Report report) throws IOException {
    StringBuilder csv =
        new StringBuilder("level,seed,requests,worth_kept,p50_ms,p99_ms,broken,hash\n");
    for (Level level : levels) {
      for (RecordedRun run : level.runs()) {
        csv.append(
            String.format(
                Locale.ROOT,
                "%s,%d,%d,%.5f,%.3f,%.3f,%d,%s%n",
                level.name(),
                run.seed(),
                run.requests(),
                run.servedValueFraction(),
                run.latencyMicros().getValueAtPercentile(50) / 1e3,
                run.latencyMicros().getValueAtPercentile(99) / 1e3,
                run.violationCount(),
                run.hash().substring(0, 16)));
      }
    }
    Files.writeString(directory.resolve("runs.csv"), csv);
    Charts charts = new Charts();
    for (Level level : levels) {
      double[] requested = new double[level.runs().get(0).requestedValue().length];
      double[] served = new double[requested.length];
      for (RecordedRun run : level.runs()) {
        for (int window = 0; window < requested.length; window++) {
          requested[window] += run.requestedValue()[window];
          served[window] += run.servedValue()[window];
        }
      }
      charts.add(
          level.name(), FleetSimulation.WINDOW_MICROS, requested, served, level.latencyMicros());
    }
    Set<String> drawn = new HashSet<>();
    for (Level level : levels) {
      for (Fault fault : level.scenario().faults()) {
        String name = fault.kind().name().toLowerCase(Locale.ROOT) + " " + fault.at() / 1e6;
        if (drawn.add(name)) {
          charts.mark(name, fault.at() / 1e6);
        }
      }
    }
    charts.save(directory, report);
  }

  /** Compares the common levels of two stored experiments; returns one line per level. */
  public static List<String> compare(Path a, Path b) throws IOException {
    Map<String, List<Double>> first = servedValueFractions(a);
    Map<String, List<Double>> second = servedValueFractions(b);
    List<String> lines = new ArrayList<>();
    for (var each : first.entrySet()) {
      if (second.containsKey(each.getKey())) {
        BootstrapInterval.Interval difference =
            BootstrapInterval.difference(
                toArray(second.get(each.getKey())), toArray(each.getValue()));
        lines.add(
            String.format(
                Locale.ROOT,
                "%s: served value differs by %+.4f (%+.4f to %+.4f), %s",
                each.getKey(),
                difference.mean(),
                difference.low(),
                difference.high(),
                difference.low() > 0 || difference.high() < 0
                    ? "beyond chance"
                    : "no more than chance"));
      }
    }
    return lines;
  }

  private static double[] toArray(List<Double> list) {
    return list.stream().mapToDouble(value -> value).toArray();
  }

  private static Map<String, List<Double>> servedValueFractions(Path directory) throws IOException {
    Map<String, List<Double>> all = new LinkedHashMap<>();
    for (String line : Files.readAllLines(directory.resolve("runs.jsonl"))) {
      JsonNode run = TenantSpecCodec.JSON.readTree(line);
      all.computeIfAbsent(run.path("level").asText(), name -> new ArrayList<>())
          .add(run.path("worthKept").asDouble());
    }
    return all;
  }
}

package shelffront.lab.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32;
import shelffront.gateway.Gateway;
import shelffront.lab.simulation.FleetSimulation;
import shelffront.routing.Router;

/**
 * The runs of an experiment as they end, a line each, so that one that was stopped goes on where it
 * was. What another experiment left in the directory counts for nothing. May be used by several
 * threads.
 */
final class RunJournal {

  static final String EXPERIMENT = "experiment.json";
  private static final String PROGRAM = "program.crc";
  static final String RUNS = "runs.jsonl";

  private final Path runs; // null where nothing is kept
  private final Map<String, RecordedRun> known = new HashMap<>();

  private RunJournal(Path runs) {
    this.runs = runs;
  }

  /** To go on in a directory, which is made where there is none; null for none. */
  static RunJournal open(Path directory, JsonNode experiment) throws IOException {
    return open(directory, experiment, false);
  }

  /** To look at what a directory has, by whatever program it was played. */
  static RunJournal read(Path directory, JsonNode experiment) throws IOException {
    return open(directory, experiment, true);
  }

  private static boolean has(Path file, String text) throws IOException {
    return Files.exists(file) && Files.readString(file).equals(text);
  }

  /** A digest of the jars that a run is played by: a changed gateway's runs are others. */
  private static String program() throws IOException {
    CRC32 sum = new CRC32();
    for (Class<?> each : List.of(FleetSimulation.class, Gateway.class, Router.class)) {
      URL location = each.getProtectionDomain().getCodeSource().getLocation();
      Path jar = Path.of(location.getPath());
      if (Files.isRegularFile(jar)) {
        sum.update(Files.readAllBytes(jar));
      }
    }
    return Long.toHexString(sum.getValue()) + "\n";
  }

  private static RunJournal open(Path directory, JsonNode experiment, boolean reading)
      throws IOException {
    if (directory == null) {
      return new RunJournal(null);
    }
    Files.createDirectories(directory);
    RunJournal log = new RunJournal(directory.resolve(RUNS));
    Path file = directory.resolve(EXPERIMENT);
    String text = experiment.toPrettyString() + "\n";
    if (Files.exists(log.runs)
        && has(file, text)
        && (reading || has(directory.resolve(PROGRAM), program()))) {
      for (String line : Files.readAllLines(log.runs)) {
        RecordedRun run = RecordedRun.read(line);
        if (run != null) {
          log.known.put(run.level() + "/" + run.seed(), run);
        }
      }
    }
    if (reading) {
      return log;
    }
    Files.writeString(file, text);
    Files.writeString(directory.resolve(PROGRAM), program());
    log.rewrite(log.known.values());
    return log;
  }

  /** Writes all runs anew in this order, whichever ended first. */
  synchronized void rewrite(Collection<RecordedRun> all) throws IOException {
    if (runs != null) {
      StringBuilder whole = new StringBuilder();
      all.forEach(run -> whole.append(run.line()).append('\n'));
      Files.writeString(runs, whole);
    }
  }

  synchronized RecordedRun get(String level, int seed) {
    return known.get(level + "/" + seed);
  }

  synchronized void add(RecordedRun run) throws IOException {
    known.put(run.level() + "/" + run.seed(), run);
    if (runs != null) {
      Files.writeString(runs, run.line() + "\n", StandardOpenOption.APPEND);
    }
  }
}

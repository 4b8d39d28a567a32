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
 * Journal of the finished runs of an experiment, one line per run, from which an interrupted
 * experiment resumes. Runs that another experiment or another program wrote to the directory are
 * ignored. Thread-safe.
 */
final class RunJournal {

  static final String EXPERIMENT = "experiment.json";
  private static final String PROGRAM = "program.crc";
  static final String RUNS = "runs.jsonl";

  private final Path runs; // null if nothing is stored
  private final Map<String, RecordedRun> known = new HashMap<>();

  private RunJournal(Path runs) {
    this.runs = runs;
  }

  /**
   * Opens the journal of a directory to resume the experiment, and creates the directory if needed.
   *
   * @param directory null for a journal in memory only
   */
  static RunJournal open(Path directory, JsonNode experiment) throws IOException {
    return open(directory, experiment, false);
  }

  /** Opens the journal of a directory for reading, whichever program wrote its runs. */
  static RunJournal read(Path directory, JsonNode experiment) throws IOException {
    return open(directory, experiment, true);
  }

  private static boolean has(Path file, String text) throws IOException {
    return Files.exists(file) && Files.readString(file).equals(text);
  }

  /**
   * Returns a checksum of the jars that a run depends on. Runs of a changed gateway are not
   * comparable, so they are not resumed.
   */
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

  /** Rewrites the file with all runs in this order instead of the order in which they ended. */
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

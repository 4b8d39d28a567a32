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

  static final String EXPERIMENT_FILE = "experiment.json";
  private static final String PROGRAM_CHECKSUM_FILE = "program.crc";
  static final String RUNS_FILE = "runs.jsonl";

  private final Path runs; // null if nothing is stored
  private final Map<String, RecordedRun> runsByLevelAndSeed = new HashMap<>();

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

  private static boolean hasContent(Path file, String text) throws IOException {
    return Files.exists(file) && Files.readString(file).equals(text);
  }

  /**
   * Returns a checksum of the jars that a run depends on. Runs of a changed gateway are not
   * comparable, so they are not resumed.
   */
  private static String programChecksum() throws IOException {
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

  private static RunJournal open(Path directory, JsonNode experiment, boolean readOnly)
      throws IOException {
    if (directory == null) {
      return new RunJournal(null);
    }
    Files.createDirectories(directory);
    RunJournal journal = new RunJournal(directory.resolve(RUNS_FILE));
    Path file = directory.resolve(EXPERIMENT_FILE);
    String text = experiment.toPrettyString() + "\n";
    if (Files.exists(journal.runs)
        && hasContent(file, text)
        && (readOnly || hasContent(directory.resolve(PROGRAM_CHECKSUM_FILE), programChecksum()))) {
      for (String line : Files.readAllLines(journal.runs)) {
        RecordedRun run = RecordedRun.read(line);
        if (run != null) {
          journal.runsByLevelAndSeed.put(run.level() + "/" + run.seed(), run);
        }
      }
    }
    if (readOnly) {
      return journal;
    }
    Files.writeString(file, text);
    Files.writeString(directory.resolve(PROGRAM_CHECKSUM_FILE), programChecksum());
    journal.rewrite(journal.runsByLevelAndSeed.values());
    return journal;
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
    return runsByLevelAndSeed.get(level + "/" + seed);
  }

  synchronized void add(RecordedRun run) throws IOException {
    runsByLevelAndSeed.put(run.level() + "/" + run.seed(), run);
    if (runs != null) {
      Files.writeString(runs, run.line() + "\n", StandardOpenOption.APPEND);
    }
  }
}

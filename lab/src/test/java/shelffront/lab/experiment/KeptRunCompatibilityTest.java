package shelffront.lab.experiment;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import shelffront.lab.compatibility.StoredResource;
import shelffront.tenant.TenantSpecCodec;

/** Reads and resumes an experiment that version 0.2.0 stored: two levels with two seeds each. */
class KeptRunCompatibilityTest {

  private static final String PROGRAM_CHECKSUM_FILE = "program.crc";

  @TempDir private Path directory;

  private Path kept;
  private JsonNode experiment;
  private List<String> lines;

  @BeforeEach
  void copyKeptRun() throws Exception {
    for (String name :
        List.of(RunJournal.EXPERIMENT_FILE, PROGRAM_CHECKSUM_FILE, RunJournal.RUNS_FILE)) {
      kept = StoredResource.copy("kept-run/" + name, directory).getParent();
    }
    experiment = TenantSpecCodec.JSON.readTree(kept.resolve(RunJournal.EXPERIMENT_FILE).toFile());
    lines = Files.readAllLines(kept.resolve(RunJournal.RUNS_FILE));
  }

  /**
   * Replaces the stored checksum by that of this build, because a journal is resumed only by the
   * program that wrote it. All other files stay as version 0.2.0 wrote them.
   */
  private void storeChecksumOfThisProgram() throws Exception {
    Path other = directory.resolve("other");
    RunJournal.open(other, experiment);
    Files.copy(
        other.resolve(PROGRAM_CHECKSUM_FILE),
        kept.resolve(PROGRAM_CHECKSUM_FILE),
        StandardCopyOption.REPLACE_EXISTING);
  }

  private static void assertRun(
      RecordedRun run, String level, int seed, long requests, double worthKept, String hash) {
    assertNotNull(run, level + " " + seed);
    assertEquals(level, run.level());
    assertEquals(seed, run.seed());
    assertEquals(requests, run.requests());
    assertEquals(worthKept, run.servedValueFraction());
    assertEquals(0, run.violationCount());
    assertEquals(hash, run.hash());
  }

  private static void assertAllRuns(RunJournal log) {
    assertRun(
        log.get("calm", 1),
        "calm",
        1,
        251,
        1.0,
        "a28c71a83b8c7663a4ec2ddeeae375c8738ab87cf81764f01e68cdebe7a348b1");
    assertRun(
        log.get("calm", 2),
        "calm",
        2,
        186,
        1.0,
        "13dbefde73fb0a542d990c972932d8a8e7bdffa34d94a40457e29dd68955e3ac");
    assertRun(
        log.get("restart", 1),
        "restart",
        1,
        200,
        0.8081694402420576,
        "64e880d8643f0e7b1bfae26b6a52dccfbad1680f98b1fe6ce99303d281a416b1");
    assertRun(
        log.get("restart", 2),
        "restart",
        2,
        191,
        0.7386327503974564,
        "8a28537aa1b9d79d4cf09496b03cd3886f202df36429669d95bc265e0cbc1850");
  }

  @Test
  void readsStoredRuns() throws Exception {
    assertAllRuns(RunJournal.read(kept, experiment));
  }

  @Test
  void readsClassesWindowsAndLatencyOfRun() throws Exception {
    RecordedRun run = RunJournal.read(kept, experiment).get("restart", 1);
    assertEquals(
        TenantSpecCodec.JSON.readTree(
            "{\"live-read\":{\"asked\":28,\"onTime\":11,\"late\":0,\"refused\":17,\"failed\":0,"
                + "\"unanswered\":0},"
                + "\"map-read\":{\"asked\":57,\"onTime\":57,\"late\":0,\"refused\":0,\"failed\":0,"
                + "\"unanswered\":0},"
                + "\"map-write\":{\"asked\":58,\"onTime\":32,\"late\":11,\"refused\":15,"
                + "\"failed\":0,\"unanswered\":0},"
                + "\"own-edit-read\":{\"asked\":57,\"onTime\":57,\"late\":0,\"refused\":0,"
                + "\"failed\":0,\"unanswered\":0}}"),
        run.classes());
    assertArrayEquals(
        new double[] {52, 54, 87, 53, 51, 47, 49, 65, 77, 54, 38, 34, 0}, run.requestedValue());
    assertArrayEquals(
        new double[] {
          52,
          54,
          87,
          53,
          44.60000000000001,
          23.4,
          30.599999999999998,
          37.599999999999994,
          55,
          31,
          32,
          34,
          0
        },
        run.servedValue());
    assertEquals(
        168, run.latencyMicros().getTotalCount(), "57 + 57 + 32 + 11 + 11 requests were served");
    assertEquals(10_823, run.latencyMicros().getValueAtPercentile(50));
    assertEquals(2_043_903, run.latencyMicros().getValueAtPercentile(99));
  }

  @Test
  void writesUnchangedLines() {
    for (String line : lines) {
      assertEquals(line, RecordedRun.read(line).line());
    }
  }

  @Test
  void readsTruncatedLineAsNull() {
    assertNull(RecordedRun.read(lines.get(3).substring(0, lines.get(3).length() - 20)));
  }

  /** A stored run that ran again would have its real number of requests, not the marked number. */
  @Test
  void resumesInterruptedExperiment() throws Exception {
    storeChecksumOfThisProgram();
    String marked = lines.get(0).replaceFirst("\"requests\":251,", "\"requests\":777777,");
    Files.writeString(
        kept.resolve(RunJournal.RUNS_FILE),
        marked + "\n" + lines.get(1) + "\n" + lines.get(2) + "\n" + lines.get(3).substring(0, 300));
    VirtualExperiment.run(experiment, kept);
    List<String> resumed = Files.readAllLines(kept.resolve(RunJournal.RUNS_FILE));
    assertEquals(4, resumed.size());
    assertEquals(marked, resumed.get(0));
    assertEquals(lines.subList(1, 3), resumed.subList(1, 3));
    RecordedRun played = RecordedRun.read(resumed.get(3));
    assertEquals("restart", played.level());
    assertEquals(2, played.seed());
  }

  @Test
  void reusesAllRunsOfSameExperiment() throws Exception {
    storeChecksumOfThisProgram();
    assertAllRuns(RunJournal.open(kept, experiment));
    assertEquals(lines.size(), Files.readAllLines(kept.resolve(RunJournal.RUNS_FILE)).size());
  }

  @Test
  void ignoresRunsOfAnotherProgram() throws Exception {
    Files.writeString(kept.resolve(PROGRAM_CHECKSUM_FILE), "14835f98 of another\n");
    RunJournal log = RunJournal.open(kept, experiment);
    assertNull(log.get("calm", 1));
    assertNull(log.get("restart", 2));
  }

  @Test
  void reportsOnStoredRuns() throws Exception {
    Experiment.Report report = VirtualExperiment.report(kept);
    assertTrue(report.claimsHold());
    assertFalse(report.isVoid());
    assertEquals(
        List.of(
            "| calm | 2 | 437 | 1.000 (1.000 to 1.000) | 1.000 | 10.5 | 33.6 | 61.0 | 0 |",
            "| restart | 2 | 391 | 0.773 (0.739 to 0.808) | 0.739 | 10.9 | 2254.8 | 2699.3 | 0 |"),
        report.table().subList(2, 4));
    assertEquals(
        List.of(
            "kept: restart keeps 0.227 less than calm (0.192 to 0.261): 0.900 at the most wanted",
            "kept: 0 rules broken in all runs"),
        report.claims());
  }

  /** Collects the path of every field with the JSON types of its values. */
  private static void collectFields(
      String path, JsonNode node, Map<String, TreeSet<String>> found) {
    if (node.isObject()) {
      node.fields()
          .forEachRemaining(
              field -> collectFields(path + "/" + field.getKey(), field.getValue(), found));
    } else {
      found.computeIfAbsent(path, any -> new TreeSet<>()).add(node.getNodeType().name());
    }
  }

  private static Map<String, TreeSet<String>> fields(List<String> written) throws Exception {
    Map<String, TreeSet<String>> found = new TreeMap<>();
    for (String line : written) {
      collectFields("", TenantSpecCodec.JSON.readTree(line), found);
    }
    return found;
  }

  /** Newly stored runs have the same fields as old ones, and both can be compared. */
  @Test
  void storesRunsWithSameFields() throws Exception {
    Path again = directory.resolve("again");
    VirtualExperiment.run(experiment, again);
    List<String> written = Files.readAllLines(again.resolve(RunJournal.RUNS_FILE));
    assertEquals(fields(lines), fields(written));
    assertEquals(
        Files.readString(kept.resolve(RunJournal.EXPERIMENT_FILE)),
        Files.readString(again.resolve(RunJournal.EXPERIMENT_FILE)));
    List<String> levels = new ArrayList<>();
    VirtualExperiment.compare(kept, again)
        .forEach(line -> levels.add(line.substring(0, line.indexOf(':'))));
    assertEquals(List.of("calm", "restart"), levels);
  }
}

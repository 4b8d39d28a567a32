package shelffront.lab.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import shelffront.cli.JsonnetTemplates;
import shelffront.tenant.TenantSpecCodec;
import shelffront.tenant.TenantSpecCodec.SpecException;

class VirtualExperimentTest {

  @TempDir private Path directory;

  private static ObjectNode smoke() throws Exception {
    ObjectNode file =
        (ObjectNode) JsonnetTemplates.evaluate(Path.of("experiments/virtual-smoke.jsonnet"));
    file.setAll((ObjectNode) file.path("short"));
    ((ObjectNode) file.path("base")).put("seconds", 8).put("perSecond", 250);
    return file;
  }

  /**
   * Runs the short form of the smoke experiment twice: its claims hold, and both runs give the same
   * results.
   */
  @Test
  void repeatsSmokeExperimentWithTheSameResult() throws Exception {
    Experiment.Report report = VirtualExperiment.run(smoke(), directory.resolve("a"));
    assertTrue(report.claimsHold(), report.claims().toString());
    VirtualExperiment.run(smoke(), directory.resolve("b"));
    assertEquals(
        Files.readString(directory.resolve("a/runs.jsonl")),
        Files.readString(directory.resolve("b/runs.jsonl")));
    for (String name :
        List.of("experiment.json", "runs.csv", "summary.md", "worth.svg", "latency.svg")) {
      assertTrue(Files.size(directory.resolve("a").resolve(name)) > 0, name);
    }
    List<String> same = VirtualExperiment.compare(directory.resolve("a"), directory.resolve("b"));
    assertEquals(6, same.size());
    assertTrue(
        same.stream().allMatch(line -> line.endsWith("no more than chance")), same.toString());
  }

  /**
   * An experiment interrupted while it wrote a line resumes: it reuses the complete runs and
   * repeats the rest.
   */
  @Test
  void resumesStoppedExperiment() throws Exception {
    ObjectNode file = smoke();
    ((ObjectNode) file.path("base")).put("seconds", 2).put("perSecond", 100);
    file.put("seeds", 2).putArray("claims");
    VirtualExperiment.run(file, directory);
    Path runs = directory.resolve("runs.jsonl");
    List<String> lines = Files.readAllLines(runs);
    String marked = lines.get(0).replaceFirst("\"requests\":[0-9]+", "\"requests\":777777");
    Files.writeString(runs, marked + "\n" + lines.get(1) + "\n" + lines.get(2).substring(0, 200));
    VirtualExperiment.run(file, directory);
    List<String> again = Files.readAllLines(runs);
    assertTrue(again.get(0).contains("777777"), "a stored run was repeated");
    assertEquals(lines.subList(1, lines.size()), again.subList(1, again.size()));
    List<String> table = VirtualExperiment.report(directory).table();
    assertTrue(table.get(2).contains(" 777") || table.get(2).contains(" 778"), table.toString());
    ((ObjectNode) file.path("base")).put("perSecond", 101);
    VirtualExperiment.run(file, directory);
    assertTrue(
        !Files.readString(runs).contains("777777"), "a run of a different experiment was reused");
  }

  @Test
  void reportsClaimThatDoesNotHold() throws Exception {
    ObjectNode file = smoke();
    JsonNode calm = file.path("levels").path(0);
    file.putArray("levels").add(calm);
    file.putArray("claims").addObject().put("level", "calm").put("worthAtLeast", 1.01);
    Experiment.Report report = VirtualExperiment.run(file, null);
    assertTrue(
        !report.claimsHold() && report.claims().get(0).startsWith("NOT kept"),
        report.claims().toString());
  }

  @Test
  void rejectsUnknownFault() throws Exception {
    JsonNode scenario = TenantSpecCodec.parse("{\"faults\": [{\"kind\": \"FLOOD\"}]}".getBytes());
    SpecException failure =
        assertThrows(SpecException.class, () -> VirtualExperiment.scenario(scenario, "/levels/0"));
    assertEquals("/levels/0/faults/0/kind", failure.pointer());
  }

  /** The interval of a mean contains it, and the interval of a large difference excludes zero. */
  @Test
  void intervalOfDifferenceExcludesZeroOnlyForDistinctMeans() {
    double[] low = {0.50, 0.52, 0.48, 0.51, 0.49};
    double[] high = {0.90, 0.91, 0.89, 0.92, 0.88};
    BootstrapInterval.Interval mean = BootstrapInterval.mean(low);
    assertTrue(
        mean.low() > 0.48
            && mean.low() < mean.mean()
            && mean.mean() < mean.high()
            && mean.high() < 0.52);
    assertEquals(0.5, mean.mean(), 1e-9);
    assertTrue(BootstrapInterval.difference(high, low).low() > 0.35);
    BootstrapInterval.Interval none = BootstrapInterval.difference(low, low);
    assertTrue(none.low() < 0 && none.high() > 0);
  }
}

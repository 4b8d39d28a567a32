package shelffront.lab.scale;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;
import shelffront.tenant.TenantSpecCodec;

/** Writes tables and charts from the saved results of several {@link FleetScale} runs. */
@Command(
    name = "fleet-scale-report",
    mixinStandardHelpOptions = true,
    description =
        "Writes summary.md and charts from the result.json in each subdirectory of a directory.")
public final class FleetScaleReport implements Callable<Integer> {

  private static final int WIDTH_PIXELS = 800;
  private static final int HEIGHT_PIXELS = 400;

  /** A column of the summary: its heading, the figure that it shows, and a multiplier. */
  private record Column(String heading, String figure, double factor) {}

  private static final List<Column> COLUMNS =
      List.of(
          new Column("engine calls/change", "engine_calls_per_change", 1),
          new Column("engine KB/change", "engine_kb_per_change", 1),
          new Column("engine calls/s at rest", "idle_engine_calls_per_s", 1),
          new Column("gateway CPU %", "changing_hollow_cpu_cores", 100),
          new Column("gateway KB/s", "changing_hollow_kb_per_s", 1),
          new Column("zone distributor cores", "changing_zone_cpu_cores", 1),
          new Column("zone distributor KB/s", "changing_zone_kb_per_s", 1),
          new Column("in force, median s", "in_force_median_s", 1),
          new Column("99 % s", "in_force_p99_s", 1),
          new Column("slowest s", "in_force_slowest_s", 1),
          new Column("not in force", "not_in_force", 1),
          new Column("stepped back", "stepped_back", 1));

  @Parameters(paramLabel = "DIR")
  private Path directory;

  @Override
  public Integer call() throws IOException {
    List<JsonNode> runs = readResults();
    List<String> lines =
        new ArrayList<>(
            List.of(
                "# fleet-scale",
                "",
                "Each line is a run; the `result.json` of the run has every figure. Figures of a"
                    + " gateway are those of",
                "hollow gateways. Usage figures of a role are 0 if one of its processes was killed"
                    + " during the run.",
                ""));
    StringBuilder heading = new StringBuilder("| gateways | watching themselves | fault |");
    COLUMNS.forEach(column -> heading.append(' ').append(column.heading()).append(" |"));
    lines.add(heading.toString());
    lines.add("|" + " --- |".repeat(3 + COLUMNS.size()));
    runs.forEach(run -> lines.add(formatRow(run)));
    List<JsonNode> withoutFault =
        runs.stream()
            .filter(
                run -> run.path("fault").asText().equals("none") && run.path("direct").asInt() == 0)
            .toList();
    writeChart(
        "Engine calls per change",
        "calls",
        withoutFault,
        List.of("engine_calls_per_change"),
        "engine-calls");
    writeChart(
        "Time from write to in force",
        "seconds",
        withoutFault,
        List.of("in_force_median_s", "in_force_p99_s", "in_force_slowest_s"),
        "in-force");
    lines.addAll(List.of("", "![engine calls](engine-calls.svg)", "", "![in force](in-force.svg)"));
    Files.write(directory.resolve("summary.md"), lines);
    lines.forEach(System.out::println);
    return 0;
  }

  private List<JsonNode> readResults() throws IOException {
    List<JsonNode> runs = new ArrayList<>();
    try (Stream<Path> directories = Files.list(directory)) {
      for (Path each : directories.sorted().toList()) {
        if (Files.exists(each.resolve("result.json"))) {
          runs.add(TenantSpecCodec.JSON.readTree(each.resolve("result.json").toFile()));
        }
      }
    }
    runs.sort(
        Comparator.comparingInt((JsonNode run) -> run.path("direct").asInt())
            .thenComparing(run -> !run.path("fault").asText().equals("none"))
            .thenComparingInt(run -> run.path("gateways").asInt()));
    return runs;
  }

  private static String formatRow(JsonNode run) {
    StringBuilder line =
        new StringBuilder(
            String.format(
                Locale.ROOT,
                "| %d | %d | %s |",
                run.path("gateways").asInt(),
                run.path("direct").asInt(),
                run.path("fault").asText()));
    for (Column column : COLUMNS) {
      line.append(
          String.format(
              Locale.ROOT,
              " %.3f |",
              run.path("figures").path(column.figure()).asDouble() * column.factor()));
    }
    return line.toString();
  }

  private void writeChart(
      String title, String unit, List<JsonNode> runs, List<String> figures, String name)
      throws IOException {
    if (runs.isEmpty()) {
      return;
    }
    XYChart chart =
        new XYChartBuilder()
            .width(WIDTH_PIXELS)
            .height(HEIGHT_PIXELS)
            .title(title)
            .xAxisTitle("gateways")
            .yAxisTitle(unit)
            .build();
    chart.getStyler().setYAxisMin(0.0);
    double[] gateways = runs.stream().mapToDouble(run -> run.path("gateways").asDouble()).toArray();
    for (String figure : figures) {
      chart.addSeries(
          figure,
          gateways,
          runs.stream().mapToDouble(run -> run.path("figures").path(figure).asDouble()).toArray());
    }
    VectorGraphicsEncoder.saveVectorGraphic(
        chart, directory.resolve(name).toString(), VectorGraphicsFormat.SVG);
  }
}

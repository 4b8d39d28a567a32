package shelffront.lab.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/**
 * The charts of an experiment, on sockets or in virtual time: served value over time with the
 * faults marked, and latency by percentile.
 */
final class Charts {

  private final XYChart servedValue =
      chart("Value served within the latency objective", "second", "fraction of the value due");
  private final XYChart latency =
      chart("Latency of served requests", "percentile (number of nines)", "ms");

  Charts() {
    latency.getStyler().setYAxisLogarithmic(true);
  }

  private static XYChart chart(String title, String xLabel, String yLabel) {
    return new XYChartBuilder()
        .width(900)
        .height(420)
        .title(title)
        .xAxisTitle(xLabel)
        .yAxisTitle(yLabel)
        .build();
  }

  /**
   * Adds a line to each chart.
   *
   * @param windowMicros length of a window in microseconds
   * @param dueValue value of the requests due in each window
   * @param onTimeValue value served on time in each window
   * @param servedLatencies latencies of the served requests in microseconds
   */
  void add(
      String name,
      long windowMicros,
      double[] dueValue,
      double[] onTimeValue,
      Histogram servedLatencies) {
    double[] seconds = new double[dueValue.length];
    double[] fractions = new double[dueValue.length];
    for (int w = 0; w < dueValue.length; w++) {
      seconds[w] = w * windowMicros / 1e6;
      fractions[w] = dueValue[w] == 0 ? 1 : onTimeValue[w] / dueValue[w];
    }
    if (dueValue.length > 0) {
      servedValue.addSeries(name, seconds, fractions).setMarker(SeriesMarkers.NONE);
    }
    double[] nines = new double[31];
    double[] millis = new double[31];
    for (int i = 0; i < nines.length; i++) {
      nines[i] = i / 10.0;
      millis[i] =
          Math.max(
              0.01,
              servedLatencies.getValueAtPercentile(100 * (1 - Math.pow(10, -nines[i]))) / 1e3);
    }
    latency.addSeries(name, nines, millis).setMarker(SeriesMarkers.NONE);
  }

  /** Marks a time with a vertical line. */
  void mark(String name, double second) {
    servedValue
        .addSeries(name, new double[] {second, second}, new double[] {0, 1})
        .setMarker(SeriesMarkers.NONE);
  }

  /** Writes the charts, and the summary that embeds them. */
  void save(Path directory, Experiment.Report report) throws IOException {
    List<String> lines = report.lines();
    lines.addAll(List.of("", "![worth over time](worth.svg)", "", "![latency](latency.svg)"));
    Files.write(directory.resolve("summary.md"), lines);
    save(servedValue, directory.resolve("worth"));
    save(latency, directory.resolve("latency"));
  }

  /** Writes a chart to a path without its extension, which the encoder adds. */
  private static void save(XYChart chart, Path file) throws IOException {
    VectorGraphicsEncoder.saveVectorGraphic(chart, file.toString(), VectorGraphicsFormat.SVG);
  }
}

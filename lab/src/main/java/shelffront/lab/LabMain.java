package shelffront.lab;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import shelffront.cli.JsonnetTemplates;
import shelffront.lab.experiment.Experiment;
import shelffront.lab.experiment.VirtualExperiment;
import shelffront.lab.faultinjection.ConsulEmulator;
import shelffront.lab.faultinjection.RolloutExplore;
import shelffront.lab.scale.DistributionExplore;
import shelffront.lab.scale.FleetScale;
import shelffront.lab.scale.FleetScaleReport;
import shelffront.lab.scale.GatewayCost;
import shelffront.lab.scale.HollowGateways;
import shelffront.lab.scale.RolloutCost;
import shelffront.tenant.TenantSpecCodec.SpecException;

/** The lab's commands. */
@Command(
    name = "shelffront-lab",
    mixinStandardHelpOptions = true,
    description = "Runs load and faults against shelffront with emulated database hosts.",
    subcommands = {
      LabMain.Run.class,
      LabMain.Compare.class,
      Explore.class,
      Explore.Replay.class,
      Demo.class,
      Scale.class,
      Idle.class,
      ServeFleet.class,
      ConsulEmulator.class,
      RolloutExplore.class,
      FleetScale.class,
      FleetScaleReport.class,
      HollowGateways.class,
      GatewayCost.class,
      RolloutCost.class,
      DistributionExplore.class,
      LabMain.Report.class
    })
public final class LabMain {

  private LabMain() {}

  public static void main(String[] arguments) {
    CommandLine line = new CommandLine(new LabMain());
    line.setExecutionExceptionHandler(
        (e, command, result) -> {
          command.getErr().println("shelffront-lab: " + e.getMessage());
          return 1;
        });
    if (arguments.length == 0) {
      line.usage(line.getErr());
      System.exit(2);
    }
    System.exit(line.execute(arguments));
  }

  /** Compares two stored experiments. */
  @Command(
      name = "compare",
      mixinStandardHelpOptions = true,
      description =
          "Prints for each level of two stored experiments whether its served value differs beyond"
              + " chance.")
  static final class Compare implements Callable<Integer> {

    @Parameters(paramLabel = "A")
    private Path a;

    @Parameters(paramLabel = "B")
    private Path b;

    @Override
    public Integer call() throws IOException {
      VirtualExperiment.compare(a, b).forEach(System.out::println);
      return 0;
    }
  }

  /** Regenerates the summary and the charts of a stored experiment. */
  @Command(
      name = "report",
      mixinStandardHelpOptions = true,
      description = {
        "Regenerates the summary and the charts of a stored simulation experiment from its runs,"
            + " and prints the summary.",
        "Exit codes: 0 all claims hold, 1 a claim does not hold."
      })
  static final class Report implements Callable<Integer> {

    @Parameters(paramLabel = "DIRECTORY")
    private Path directory;

    @Override
    public Integer call() throws IOException, SpecException {
      Experiment.Report report = VirtualExperiment.report(directory);
      report.table().forEach(System.out::println);
      report.claims().forEach(claim -> System.out.println("- " + claim));
      return report.claimsHold() ? 0 : 1;
    }
  }

  /** Runs one experiment. */
  @Command(
      name = "run",
      mixinStandardHelpOptions = true,
      description = {
        "Runs an experiment and prints its table.",
        "Exit codes: 0 all claims hold, 1 a claim does not hold, 2 the machine was too slow for a"
            + " valid result."
      })
  static final class Run implements Callable<Integer> {

    @Parameters(
        paramLabel = "FILE",
        description = "experiment in Jsonnet or JSON, see lab/experiments")
    private Path file;

    @Option(
        names = "--keep",
        paramLabel = "FILE",
        description = "also write the table to this file, as Markdown")
    private Path tableFile;

    @Option(
        names = "--out",
        paramLabel = "DIRECTORY",
        description = "store runs, tables and charts in this directory")
    private Path outputDirectory;

    @Option(names = "--short", description = "run the short form that the file defines")
    private boolean isShort;

    @Override
    public Integer call() throws IOException, SpecException, InterruptedException {
      JsonNode experiment = JsonnetTemplates.evaluate(file);
      if (isShort && experiment.has("short")) {
        ((ObjectNode) experiment).setAll((ObjectNode) experiment.path("short"));
      }
      Experiment.Report report =
          experiment.path("virtual").asBoolean(false)
              ? VirtualExperiment.run(experiment, outputDirectory)
              : Experiment.run(experiment, outputDirectory);
      List<String> lines = report.lines();
      lines.forEach(System.out::println);
      if (tableFile != null) {
        lines.add(0, "# " + file.getFileName() + "\n");
        Files.write(tableFile, lines);
      }
      return report.isVoid() ? 2 : report.claimsHold() ? 0 : 1;
    }
  }
}

package shelffront.lab.scale;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import shelffront.distribution.RecordChange;
import shelffront.distribution.Version;
import shelffront.lab.faultinjection.JavaProcess;
import shelffront.tenant.TenantSpecCodec;

/**
 * Measures the distribution of configuration in a large fleet: resource usage per role, and the
 * time until a change is in force at every gateway.
 */
@Command(
    name = "fleet-scale",
    mixinStandardHelpOptions = true,
    description = {
      "Starts an emulated coordination store, distributors for regions and zones, hollow gateways"
          + " (the control",
      "plane only, many in a process) and a few real gateways, writes changes, and measures the"
          + " processes of each role.",
      "Exit codes: 0 every requirement is met, 1 a requirement is not met, 2 the machine was too"
          + " slow to measure."
    })
public final class FleetScale implements Callable<Integer> {

  /** The fault injected after half of the changes. */
  enum Fault {
    NONE,
    ZONE_RESTART,
    DISTRIBUTOR_KILL,
    DISTRIBUTOR_STOP,
    REGION_KILL
  }

  private static final double BOUND_SECONDS = 14;
  private static final double MAX_GATEWAY_CPU_CORES = 0.013;
  private static final double MAX_GATEWAY_KB_PER_SECOND = 18;
  private static final int CHANGES_PER_COMMON_CHANGE =
      10; // one change in this many affects every gateway
  private static final double TOO_SLOW_FACTOR = 3; // multiple of the planned duration

  @Option(
      names = "--gateways",
      defaultValue = "100",
      description = "hollow gateways (${DEFAULT-VALUE})")
  private int gateways;

  @Option(
      names = "--hosts",
      defaultValue = "1000",
      description = "hosts, five per tenant (${DEFAULT-VALUE})")
  private int hosts;

  @Option(names = "--changes-per-hour", defaultValue = "7200", description = "(${DEFAULT-VALUE})")
  private int changesPerHour;

  @Option(
      names = "--seconds",
      defaultValue = "30",
      description = "duration of the changes (${DEFAULT-VALUE})")
  private int seconds;

  @Option(
      names = "--idle-seconds",
      defaultValue = "10",
      description = "duration of the idle phase before the changes (${DEFAULT-VALUE})")
  private int idleSeconds;

  @Option(
      names = "--names",
      defaultValue = "60",
      description = "tenants that each gateway serves (${DEFAULT-VALUE})")
  private int names;

  @Option(names = "--regions", defaultValue = "4", description = "(${DEFAULT-VALUE})")
  private int regions;

  @Option(names = "--zones", defaultValue = "4", description = "per region (${DEFAULT-VALUE})")
  private int zones;

  @Option(
      names = "--real",
      defaultValue = "2",
      description = "additional real gateways (${DEFAULT-VALUE})")
  private int real;

  @Option(
      names = "--direct",
      defaultValue = "0",
      description =
          "additional gateways that watch the coordination store directly (${DEFAULT-VALUE})")
  private int direct;

  @Option(names = "--faults", defaultValue = "NONE", description = "${COMPLETION-CANDIDATES}")
  private Fault fault;

  @Option(names = "--seed", defaultValue = "1", description = "(${DEFAULT-VALUE})")
  private long seed;

  @Option(names = "--out", description = "directory for the report")
  private Path out;

  private final List<String> lines = new ArrayList<>();
  private final List<String> unmetRequirements = new ArrayList<>();
  private final ObjectNode figures = TenantSpecCodec.JSON.createObjectNode();

  /** The cumulative resource usage of a group of processes at a point in time. */
  private record ResourceUsage(
      double cpuSeconds, long ioBytes, long residentBytes, long atMicros, boolean intact) {

    static ResourceUsage of(List<ScaledFleet.FleetProcess> parts) {
      double cpuSeconds = 0;
      long ioBytes = 0;
      long residentBytes = 0;
      for (ScaledFleet.FleetProcess part : parts) {
        JavaProcess process = part.process();
        cpuSeconds += process.cpuSeconds();
        ioBytes += process.ioBytes();
        residentBytes += process.residentBytes();
      }
      boolean intact = parts.stream().allMatch(ScaledFleet.FleetProcess::isFirstAndUp);
      return new ResourceUsage(
          cpuSeconds, ioBytes, residentBytes, SyntheticTenants.nowMicros(), intact);
    }

    double cpuCoresSince(ResourceUsage before) {
      return (cpuSeconds - before.cpuSeconds) / ((atMicros - before.atMicros) / 1e6);
    }

    double kbPerSecondSince(ResourceUsage before) {
      return (ioBytes - before.ioBytes) / 1e3 / ((atMicros - before.atMicros) / 1e6);
    }
  }

  @Override
  public Integer call() throws Exception {
    int tenants = hosts / SyntheticTenants.HOSTS_PER_TENANT;
    ScaledFleet.Size size =
        new ScaledFleet.Size(gateways, tenants, names, regions, zones, real, direct, seed);
    Path directory =
        out == null ? Files.createTempDirectory("fleet-scale-") : Files.createDirectories(out);
    Path work = Files.createTempDirectory("fleet-scale-work-");
    boolean tooSlow;
    try (ScaledFleet fleet = new ScaledFleet(work, size)) {
      long from = SyntheticTenants.nowMicros();
      fleet.start();
      recordFigure("start_s", (SyntheticTenants.nowMicros() - from) / 1e6);
      recordFigure("slowest_zone_current_s", fleet.slowestStartMillis() / 1e3);
      Map<String, ResourceUsage> before = usageByRole(fleet);
      long[] calls = fleet.storeCalls();
      TimeUnit.SECONDS.sleep(idleSeconds);
      Map<String, ResourceUsage> idle = usageByRole(fleet);
      long[] idleCalls = fleet.storeCalls();
      double idlePerSecond = (idleCalls[0] - calls[0]) / (double) idleSeconds;
      report("idle", before, idle);
      recordFigure("idle_engine_calls_per_s", idlePerSecond);
      recordFigure("idle_engine_kb_per_s", (idleCalls[1] - calls[1]) / 1e3 / idleSeconds);
      long began = SyntheticTenants.nowMicros();
      Map<String, Version> written = writeChanges(fleet, tenants);
      double tookSeconds = (SyntheticTenants.nowMicros() - began) / 1e6;
      tooSlow = tookSeconds > TOO_SLOW_FACTOR * seconds;
      Map<String, ResourceUsage> after = usageByRole(fleet);
      long[] afterCalls = fleet.storeCalls();
      report("changing", idle, after);
      int count = figures.path("changes").asInt();
      recordFigure(
          "engine_calls_per_change",
          (afterCalls[0] - idleCalls[0] - idlePerSecond * tookSeconds) / count);
      recordFigure("engine_kb_per_change", (afterCalls[1] - idleCalls[1]) / 1e3 / count);
      recordDelays(fleet, written);
    }
    checkRequirements();
    saveResult(directory);
    lines.forEach(System.out::println);
    return !unmetRequirements.isEmpty() ? 1 : tooSlow ? 2 : 0;
  }

  private static Map<String, ResourceUsage> usageByRole(ScaledFleet fleet) {
    Map<String, ResourceUsage> use = new TreeMap<>();
    use.put("engine", ResourceUsage.of(List.of(fleet.storeProcess())));
    use.put("region", ResourceUsage.of(fleet.regions()));
    use.put("zone", ResourceUsage.of(fleet.zones()));
    use.put("hollow", ResourceUsage.of(fleet.hollow()));
    use.put("real", ResourceUsage.of(fleet.real()));
    return use;
  }

  /** Records the usage of each role in a phase, per distributor or gateway. */
  private void report(
      String phase, Map<String, ResourceUsage> before, Map<String, ResourceUsage> after) {
    Map<String, Integer> divisors =
        Map.of(
            "engine",
            1,
            "region",
            regions,
            "zone",
            regions * zones,
            "hollow",
            gateways,
            "real",
            Math.max(1, real));
    after.forEach(
        (role, use) -> {
          if (!use.intact()) {
            return; // the usage of a killed process is lost
          }
          int divisor = divisors.get(role);
          recordFigure(
              phase + "_" + role + "_cpu_cores", use.cpuCoresSince(before.get(role)) / divisor);
          recordFigure(
              phase + "_" + role + "_kb_per_s", use.kbPerSecondSince(before.get(role)) / divisor);
          recordFigure(phase + "_" + role + "_resident_mb", use.residentBytes() / 1e6 / divisor);
        });
  }

  /**
   * Writes changes at the configured rate and injects the fault after half of them; returns the
   * last version of each record.
   */
  private Map<String, Version> writeChanges(ScaledFleet fleet, int tenants) throws Exception {
    SplittableRandom random = new SplittableRandom(seed);
    Map<String, Version> written = new HashMap<>();
    long pauseMicros = TimeUnit.HOURS.toMicros(1) / changesPerHour;
    int count = (int) (TimeUnit.SECONDS.toMicros(seconds) / pauseMicros);
    long nextMicros = SyntheticTenants.nowMicros();
    long slowestMicros = 0;
    for (int i = 0; i < count; i++) {
      if (i == count / 2) {
        injectFault(fleet);
      }
      String id =
          i % CHANGES_PER_COMMON_CHANGE == 0
              ? SyntheticTenants.COMMON
              : SyntheticTenants.tenantId(random.nextInt(tenants));
      String name = "tenant/" + id;
      RecordChange current = fleet.store().record(name);
      long atMicros = SyntheticTenants.nowMicros();
      written.put(
          name,
          fleet
              .store()
              .write(
                  name,
                  current.version().sequence(),
                  SyntheticTenants.document(id, atMicros).toString(),
                  Version.NONE));
      slowestMicros = Math.max(slowestMicros, SyntheticTenants.nowMicros() - atMicros);
      nextMicros += pauseMicros;
      long leftMicros = nextMicros - SyntheticTenants.nowMicros();
      if (leftMicros > 0) {
        TimeUnit.MICROSECONDS.sleep(leftMicros);
      }
    }
    recordFigure("changes", count);
    recordFigure("slowest_write_ms", slowestMicros / 1e3);
    return written;
  }

  private void injectFault(ScaledFleet fleet) throws Exception {
    switch (fault) {
      case ZONE_RESTART -> {
        ScaledFleet.FleetProcess zone = fleet.hollow().get(0);
        zone.process().kill();
        zone.start();
      }
      case DISTRIBUTOR_KILL -> fleet.zones().get(0).process().kill();
      case DISTRIBUTOR_STOP -> fleet.zones().get(0).process().signal("STOP");
      case REGION_KILL -> fleet.regions().get(0).process().kill();
      default -> {}
    }
  }

  /** Records how many gateways lack a last written version after the bound, and all delays. */
  private void recordDelays(ScaledFleet fleet, Map<String, Version> written)
      throws IOException, InterruptedException {
    fleet.awaitCurrent();
    TimeUnit.SECONDS.sleep((long) BOUND_SECONDS); // any change not in force by then is late
    Histogram delays = new Histogram(TimeUnit.MINUTES.toMicros(10), 3);
    long missing = 0;
    long steppedBack = 0;
    for (JsonNode report : fleet.terminateHollowGateways().values()) {
      steppedBack += report.path("steppedBack").asLong();
      report
          .path("delays")
          .fields()
          .forEachRemaining(
              field ->
                  delays.recordValueWithCount(
                      Long.parseLong(field.getKey()), field.getValue().asLong()));
      for (var each : report.path("inForce").properties()) {
        int number = Integer.parseInt(each.getKey().substring(1));
        for (String name :
            SyntheticTenants.servedNames(
                number, hosts / SyntheticTenants.HOSTS_PER_TENANT, names, seed)) {
          Version expected = written.get(name);
          missing +=
              expected != null && each.getValue().path(name).asLong() != expected.sequence()
                  ? 1
                  : 0;
        }
      }
    }
    recordFigure("in_force_count", delays.getTotalCount());
    recordFigure("in_force_median_s", delays.getValueAtPercentile(50) / 1e6);
    recordFigure("in_force_p99_s", delays.getValueAtPercentile(99) / 1e6);
    recordFigure("in_force_slowest_s", delays.getMaxValue() / 1e6);
    recordFigure("not_in_force", missing);
    recordFigure("stepped_back", steppedBack);
  }

  private void checkRequirements() {
    checkRequirement(
        "every change is in force on every gateway that serves it",
        figures.path("not_in_force").asLong() == 0);
    checkRequirement(
        "no gateway replaces a record by an older version",
        figures.path("stepped_back").asLong() == 0);
    checkRequirement(
        "every change is in force within " + BOUND_SECONDS + " s",
        figures.path("in_force_slowest_s").asDouble() <= BOUND_SECONDS);
    checkRequirement(
        "the control plane of a gateway uses at most 1.3 % of a core",
        figures.path("changing_hollow_cpu_cores").asDouble() <= MAX_GATEWAY_CPU_CORES);
    checkRequirement(
        "the control plane of a gateway transfers at most 18 KB/s",
        figures.path("changing_hollow_kb_per_s").asDouble() <= MAX_GATEWAY_KB_PER_SECOND);
  }

  private void checkRequirement(String what, boolean met) {
    lines.add((met ? "kept: " : "BROKEN: ") + what);
    if (!met) {
      unmetRequirements.add(what);
    }
  }

  private void recordFigure(String name, double value) {
    figures.put(name, value);
    lines.add(String.format(Locale.ROOT, "%-34s %.4f", name, value));
  }

  private void saveResult(Path directory) throws IOException {
    ObjectNode result =
        TenantSpecCodec.JSON
            .createObjectNode()
            .put("gateways", gateways)
            .put("hosts", hosts)
            .put("changesPerHour", changesPerHour)
            .put("seconds", seconds)
            .put("names", names)
            .put("regions", regions)
            .put("zonesOfRegion", zones)
            .put("direct", direct)
            .put("fault", fault.name().toLowerCase(Locale.ROOT))
            .put("seed", seed);
    result.set("figures", figures);
    result.putPOJO("broken", unmetRequirements);
    Files.writeString(
        directory.resolve("result.json"),
        TenantSpecCodec.JSON.writerWithDefaultPrettyPrinter().writeValueAsString(result) + "\n");
  }
}

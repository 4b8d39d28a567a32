package shelffront.lab.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import shelffront.lab.emulator.EmulatedReplicaSet;
import shelffront.lab.load.LoadResult;
import shelffront.lab.load.OpenLoopLoad;
import shelffront.lab.load.RequestOutcomes;
import shelffront.lab.load.TransparentProxy;
import shelffront.lab.transport.SocketTransport;
import shelffront.multitenant.MultiTenantConfig;
import shelffront.multitenant.MultiTenantGateway;
import shelffront.tenant.TenantSpecCodec;
import shelffront.tenant.TenantSpecCodec.SpecException;

/**
 * Runs phases of open-loop load on a multi-tenant gateway in this process, with emulated replica
 * sets on loopback, and checks claims about the results. The experiment file defines phases,
 * tenants and claims; see {@code lab/experiments}.
 */
public final class Experiment {

  /**
   * The result of an experiment.
   *
   * @param table lines of a Markdown table
   * @param claims each claim with its verdict
   * @param claimsHold whether all claims hold
   * @param isVoid whether the load generator or an emulated replica set lagged too far behind for a
   *     valid result
   */
  public record Report(
      List<String> table, List<String> claims, boolean claimsHold, boolean isVoid) {

    /** Returns table and claims as Markdown. */
    public List<String> lines() {
      List<String> lines = new ArrayList<>(table);
      lines.add("");
      claims.forEach(claim -> lines.add("- " + claim));
      if (isVoid) {
        lines.add("- void: load generator or emulated hosts lagged too far behind on this machine");
      }
      return lines;
    }
  }

  /**
   * Largest 99th percentile of the load generator's lag, and largest lateness of an emulated
   * replica set, in a valid result. Beyond this the figures describe the machine.
   */
  private static final long MAX_LAG_MICROS = 50_000;

  private final JsonNode file;
  private final List<String> table = new ArrayList<>();
  private final List<String> claims = new ArrayList<>();
  private final Map<String, Map<String, LoadResult>> results = new LinkedHashMap<>();
  private final Map<String, Double> cpuMicrosPerRequest = new LinkedHashMap<>();
  private final List<String> malformedResponses = new ArrayList<>();
  private boolean claimsHold = true;
  private boolean machineTooSlow;

  private Experiment(JsonNode file) {
    this.file = file;
  }

  /**
   * Runs an experiment.
   *
   * @param directory receives the experiment, its runs, table and charts; null to write nothing
   */
  public static Report run(JsonNode file, Path directory)
      throws IOException, SpecException, InterruptedException {
    Experiment experiment = new Experiment(file);
    experiment.runPhases();
    Report report =
        new Report(
            List.copyOf(experiment.table),
            List.copyOf(experiment.claims),
            experiment.claimsHold,
            experiment.machineTooSlow);
    if (directory != null) {
      experiment.save(directory, report);
    }
    return report;
  }

  private void runPhases() throws IOException, SpecException, InterruptedException {
    table.add(
        "| phase | tenant | weight | due/s | on time/s | worth kept | worst window | refused | late"
            + " | failed | unanswered | p50 ms | p99 ms | p99.9 ms | load lag p99 ms | gateway CPU"
            + " us/request |");
    table.add("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    for (JsonNode phase : file.path("phases")) {
      runPhase(phase);
    }
    for (JsonNode claim : file.path("claims")) {
      check(claim);
    }
    if (!malformedResponses.isEmpty()) {
      recordClaim(false, "malformed responses, first one: " + malformedResponses.get(0));
    }
  }

  private void save(Path directory, Report report) throws IOException {
    Files.createDirectories(directory);
    Files.writeString(directory.resolve(RunJournal.EXPERIMENT_FILE), file.toPrettyString() + "\n");
    Charts charts = new Charts();
    StringBuilder runs = new StringBuilder();
    StringBuilder csv =
        new StringBuilder(
            "phase,tenant,due,on_time,late,refused,failed,unanswered,worth_kept,"
                + "p50_ms,p99_ms,cost_us\n");
    results.forEach(
        (phase, tenants) ->
            tenants.forEach(
                (tenant, result) -> {
                  double[] wanted =
                      result.windows.stream().mapToDouble(LoadResult.Window::due).toArray();
                  double[] served =
                      result.windows.stream().mapToDouble(LoadResult.Window::served).toArray();
                  charts.add(
                      phase + ", " + tenant,
                      OpenLoopLoad.WINDOW_MICROS,
                      wanted,
                      served,
                      result.latencyMicros);
                  double p50 = result.latencyMicros.getValueAtPercentile(50) / 1e3;
                  double p99 = result.latencyMicros.getValueAtPercentile(99) / 1e3;
                  csv.append(
                      String.format(
                          Locale.ROOT,
                          "%s,%s,%d,%d,%d,%d,%d,%d,%.5f,%.3f,%.3f,%.1f%n",
                          phase.replace(",", ""),
                          tenant,
                          result.total.due,
                          result.total.onTime,
                          result.total.late,
                          result.total.rejected,
                          result.total.failed,
                          result.total.unanswered,
                          result.servedValueFraction(),
                          p50,
                          p99,
                          cpuMicrosPerRequest.get(phase)));
                  ObjectNode line =
                      TenantSpecCodec.JSON
                          .createObjectNode()
                          .put("phase", phase)
                          .put("tenant", tenant)
                          .put("due", result.total.due)
                          .put("worthKept", result.servedValueFraction())
                          .put("p50Ms", p50)
                          .put("p99Ms", p99);
                  line.set("wanted", TenantSpecCodec.JSON.valueToTree(wanted));
                  line.set("kept", TenantSpecCodec.JSON.valueToTree(served));
                  runs.append(line).append('\n');
                }));
    Files.writeString(directory.resolve(RunJournal.RUNS_FILE), runs);
    Files.writeString(directory.resolve("runs.csv"), csv);
    charts.save(directory, report);
  }

  private void runPhase(JsonNode phase) throws IOException, SpecException, InterruptedException {
    Map<String, EmulatedReplicaSet> sets = new LinkedHashMap<>();
    try {
      ObjectNode config =
          TenantSpecCodec.JSON
              .createObjectNode()
              .put("listen", "127.0.0.1:0")
              .put("sockets", file.path("sockets").asInt(4096));
      config.put("cores", phase.path("cores").asInt(file.path("cores").asInt(1)));
      config.set("capacity", file.path("capacity"));
      ArrayNode tenants = config.putArray("tenants");
      int most = phase.path("tenants").asInt(Integer.MAX_VALUE);
      boolean oneSet = file.path("oneSet").asBoolean(false);
      for (Iterator<String> each = file.path("tenants").fieldNames();
          each.hasNext() && tenants.size() < most; ) {
        String id = each.next();
        EmulatedReplicaSet replicaSet = sets.get("all");
        if (replicaSet == null) {
          JsonNode set = file.path("set");
          replicaSet =
              new EmulatedReplicaSet(
                  id,
                  set.path("replicas").asInt(2),
                  set.path("cores").asInt(16),
                  set.path("workMs").asDouble(5),
                  set.path("lagMs").asLong(10));
          sets.put(oneSet ? "all" : id, replicaSet);
        }
        tenants.add(tenant(id, file.path("tenants").path(id), replicaSet));
      }
      MultiTenantGateway gateway =
          new MultiTenantGateway(MultiTenantConfig.read(config), line -> {});
      Thread eventLoopThread = gateway.start();
      try (TransparentProxy proxy =
          phase.path("relay").asBoolean(false) ? proxyToFirstReplica(sets) : null) {
        measure(phase, gateway, eventLoopThread, tenants, proxy, sets.values());
      }
      gateway.drain();
      eventLoopThread.join();
    } finally {
      sets.values().forEach(EmulatedReplicaSet::close);
    }
  }

  /** Returns a proxy to the first replica of the first set, or to its primary if it has none. */
  private static TransparentProxy proxyToFirstReplica(Map<String, EmulatedReplicaSet> sets)
      throws IOException {
    List<EmulatedReplicaSet.Host> hosts = sets.values().iterator().next().hosts();
    String[] hostAndPort = hosts.get(Math.min(1, hosts.size() - 1)).address().split(":");
    return new TransparentProxy(
        new InetSocketAddress(hostAndPort[0], Integer.parseInt(hostAndPort[1])));
  }

  private static ObjectNode tenant(String id, JsonNode given, EmulatedReplicaSet replicaSet) {
    ObjectNode tenant = given.deepCopy();
    tenant.put("id", id);
    ArrayNode list = tenant.putObject("boxes").putArray("list");
    for (EmulatedReplicaSet.Host host : replicaSet.hosts()) {
      list.addObject()
          .put("id", host.id())
          .put("address", host.address())
          .put("group", 1)
          .put("role", host.isPrimary() ? "primary" : "replica");
    }
    return tenant;
  }

  /**
   * Returns the CPU time in nanoseconds of the gateway's threads: event loops and the threads that
   * complete socket operations. The threads are recognized by their names.
   */
  private static long cpuNanos(Thread eventLoopThread) {
    ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    long sum = threads.getThreadCpuTime(eventLoopThread.getId());
    for (Thread each : Thread.getAllStackTraces().keySet()) {
      boolean own = each.getName().equals("completions") || each.getName().startsWith("turns-");
      sum += own ? Math.max(0, threads.getThreadCpuTime(each.getId())) : 0;
    }
    return sum;
  }

  private void measure(
      JsonNode phase,
      MultiTenantGateway hosted,
      Thread eventLoopThread,
      ArrayNode tenants,
      TransparentProxy proxy,
      Collection<EmulatedReplicaSet> sets)
      throws IOException, SpecException, InterruptedException {
    String name = phase.path("name").asText();
    InetSocketAddress gateway =
        proxy != null
            ? proxy.address()
            : new InetSocketAddress(InetAddress.getLoopbackAddress(), hosted.address().getPort());
    double warm = file.path("warmSeconds").asDouble(2);
    double seconds = file.path("seconds").asDouble(5);
    run(
        phase, gateway,
        warm); // compiles the code and lets the gateway learn about its endpoints before measuring
    // The change applies between two runs of the same load, so that only its effect is measured.
    for (Iterator<String> each = phase.path("change").fieldNames(); each.hasNext(); ) {
      String id = each.next();
      for (JsonNode tenant : tenants) {
        if (tenant.path("id").asText().equals(id)) {
          ObjectNode next = tenant.deepCopy();
          next.setAll((ObjectNode) phase.path("change").path(id));
          hosted.apply(TenantSpecCodec.read(next), at -> {});
        }
      }
    }
    long before = cpuNanos(eventLoopThread);
    Map<String, LoadResult> measured = run(phase, gateway, seconds);
    double cost =
        (cpuNanos(eventLoopThread) - before)
            / 1e3
            / measured.values().stream().mapToLong(result -> result.total.due).sum();
    results.put(name, measured);
    cpuMicrosPerRequest.put(name, cost);
    measured.forEach(
        (tenant, result) -> {
          long lag = result.lagMicros.getValueAtPercentile(99);
          machineTooSlow |= lag > MAX_LAG_MICROS;
          malformedResponses.addAll(result.malformedResponses);
          RequestOutcomes all = result.total;
          table.add(
              String.format(
                  Locale.ROOT,
                  "| %s | %s | %s | %.0f | %.0f | %.3f | %.3f | %d | %d | %d | %d | %.2f | %.1f |"
                      + " %.1f | %.1f | %.0f |",
                  name,
                  tenant,
                  file.path("tenants").path(tenant).path("weight").asText("1"),
                  all.due / seconds,
                  all.onTime / seconds,
                  result.servedValueFraction(),
                  result.worstWindow(),
                  all.rejected,
                  all.late,
                  all.failed,
                  all.unanswered,
                  result.latencyMicros.getValueAtPercentile(50) / 1e3,
                  result.latencyMicros.getValueAtPercentile(99) / 1e3,
                  result.latencyMicros.getValueAtPercentile(99.9) / 1e3,
                  lag / 1e3,
                  cost));
        });
    for (EmulatedReplicaSet replicaSet : sets) {
      machineTooSlow |= replicaSet.latenessMicros() > MAX_LAG_MICROS;
    }
  }

  private Map<String, LoadResult> run(JsonNode phase, InetSocketAddress gateway, double seconds)
      throws InterruptedException, IOException, SpecException {
    Map<String, LoadResult> all = new LinkedHashMap<>();
    List<SocketTransport> transports = new ArrayList<>();
    CountDownLatch over = new CountDownLatch(phase.path("load").size());
    try {
      for (Iterator<String> each = phase.path("load").fieldNames(); each.hasNext(); ) {
        String tenant = each.next();
        JsonNode loadNode = phase.path("load").path(tenant);
        SocketTransport transport = new SocketTransport("load " + tenant);
        transports.add(transport);
        OpenLoopLoad load =
            new OpenLoopLoad(
                transport,
                gateway,
                tenant,
                null,
                LoadCodec.kinds(loadNode, file.path("tenants").path(tenant).path("classes")),
                LoadCodec.behavior(loadNode, "/phases/load/" + tenant),
                loadNode.path("perSecond").asDouble(),
                loadNode.path("connections").asInt(64),
                tenant.hashCode());
        all.put(tenant, load.result());
        transport.post(() -> load.start((long) (seconds * 1e6), over::countDown));
      }
      for (SocketTransport transport : transports) {
        transport.await(over);
      }
    } finally {
      transports.forEach(SocketTransport::close);
    }
    return all;
  }

  private void check(JsonNode claim) {
    double within = claim.path("within").asDouble();
    Map<String, LoadResult> phase = results.get(claim.path("phase").asText());
    if (claim.has("medianAgainst")) {
      String tenant = claim.path("tenant").asText();
      double reference =
          results
              .get(claim.path("medianAgainst").asText())
              .get(tenant)
              .latencyMicros
              .getValueAtPercentile(50);
      double now = phase.get(tenant).latencyMicros.getValueAtPercentile(50);
      recordClaim(
          now - reference <= claim.path("micros").asDouble(),
          String.format(
              Locale.ROOT,
              "phase %s adds %.0f us to the median of phase %s, %.0f us: at most %.0f us allowed",
              claim.path("phase").asText(),
              now - reference,
              claim.path("medianAgainst").asText(),
              reference,
              claim.path("micros").asDouble()));
      return;
    }
    if (claim.has("costAgainst")) {
      double alone = cpuMicrosPerRequest.get(claim.path("costAgainst").asText());
      double now = cpuMicrosPerRequest.get(claim.path("phase").asText());
      recordClaim(
          now <= alone * (1 + within),
          String.format(
              Locale.ROOT,
              "a request costs the gateway %.1f us of CPU in phase %s, in phase %s %.1f us: at most"
                  + " %.0f %% more allowed",
              now,
              claim.path("phase").asText(),
              claim.path("costAgainst").asText(),
              alone,
              within * 100));
      return;
    }
    if (claim.has("against")) {
      String tenant = claim.path("tenant").asText();
      double alone = results.get(claim.path("against").asText()).get(tenant).servedValueFraction();
      double now = phase.get(tenant).servedValueFraction();
      recordClaim(
          now >= alone * (1 - within),
          String.format(
              Locale.ROOT,
              "%s has %.3f of its value served in phase %s, in the reference phase %.3f: at most"
                  + " %.0f %% less allowed",
              tenant,
              now,
              claim.path("phase").asText(),
              alone,
              within * 100));
      return;
    }
    double weights = 0;
    double served = 0;
    for (var each : phase.entrySet()) {
      weights += weight(claim, each.getKey());
      served += each.getValue().total.onTime + each.getValue().total.late;
    }
    for (var each : phase.entrySet()) {
      double share = (each.getValue().total.onTime + each.getValue().total.late) / served;
      double due = weight(claim, each.getKey()) / weights;
      recordClaim(
          Math.abs(share - due) <= within * due,
          String.format(
              Locale.ROOT,
              "%s gets a share of %.3f in phase %s, by weight %.3f: at most %.0f %% off allowed",
              each.getKey(),
              share,
              claim.path("phase").asText(),
              due,
              within * 100));
    }
  }

  private double weight(JsonNode claim, String tenant) {
    for (JsonNode phase : file.path("phases")) {
      JsonNode changed = phase.path("change").path(tenant).path("weight");
      if (phase.path("name").equals(claim.path("phase")) && changed.isNumber()) {
        return changed.asDouble();
      }
    }
    return file.path("tenants").path(tenant).path("weight").asDouble(1);
  }

  private void recordClaim(boolean holds, String text) {
    claimsHold &= holds;
    claims.add((holds ? "kept: " : "NOT kept: ") + text);
  }
}

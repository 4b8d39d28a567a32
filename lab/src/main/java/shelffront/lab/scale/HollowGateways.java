package shelffront.lab.scale;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.net.http.HttpClient;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import shelffront.controlplane.ChangeStore;
import shelffront.controlplane.DistributorProcess;
import shelffront.controlplane.SubscribedRecords;
import shelffront.controlplane.SubscribedRecordsConfig;
import shelffront.coordination.ConsulCoordinationStore;
import shelffront.coordination.OperatorException;
import shelffront.distribution.DistributionTimings;
import shelffront.distribution.RecordChange;
import shelffront.distribution.Version;
import shelffront.tenant.TenantSpecCodec;
import shelffront.tenant.TenantSpecCodec.SpecException;

/**
 * Runs the control plane of many gateways in one process, without clients and hosts. Each gateway
 * uses the production code to subscribe to its configured records and to validate updates. The
 * process prints a line when all gateways are current, and writes the delays and the versions in
 * force to the report file at exit.
 */
@Command(
    name = "hollow-gateways",
    hidden = true,
    mixinStandardHelpOptions = true,
    description =
        "Runs the control plane of many gateways in one process; fleet-scale starts this command.")
public final class HollowGateways implements Callable<Integer> {

  private static final long MAX_DELAY_MICROS = TimeUnit.MINUTES.toMicros(10);
  private static final int TIMER_THREADS = 4;

  @Option(names = "--config", required = true)
  private Path file;

  @Option(names = "--report", required = true)
  private Path reportFile;

  @Option(names = "--history")
  private Path historyFile;

  private Writer history; // null if not configured
  private final Histogram delays = new Histogram(MAX_DELAY_MICROS, 3);
  private long steppedBack;
  private final long startedAtMicros = SyntheticTenants.nowMicros();

  /** A record name that a gateway subscribes to. */
  private record Lookup(SubscribedRecords records, String name) {

    /** Waits for a response, even if there is no such record; retries failed lookups. */
    void awaitResponse() throws InterruptedException {
      while (true) {
        try {
          records.lookUp(name).get();
          return;
        } catch (ExecutionException e) {
          TimeUnit.MILLISECONDS.sleep(20); // no distributor responded in time
        }
      }
    }
  }

  /** The records in force at one gateway, with the sequence number of each. */
  private final class RecordTable implements SubscribedRecords.RecordApplier {

    private final String gateway;
    private final Map<String, Long> inForce = new HashMap<>();

    private RecordTable(String gateway) {
      this.gateway = gateway;
    }

    @Override
    public synchronized String apply(RecordChange record) {
      try {
        TenantSpecCodec.read(TenantSpecCodec.parse(record.document().getBytes(UTF_8)));
      } catch (SpecException e) {
        return e.pointer() + " " + e.getMessage();
      }
      Long previous = inForce.put(record.name(), record.version().sequence());
      recordDelay(record, previous);
      appendHistory(gateway, record.name(), record.version());
      return null;
    }

    @Override
    public synchronized void remove(String name) {
      inForce.remove(name);
      appendHistory(gateway, name, null);
    }

    @Override
    public void onVersionReached(Version version) {}

    private synchronized Map<String, Long> copy() {
      return new HashMap<>(inForce);
    }
  }

  /** Appends a line to the history; a null version means that the record was removed. */
  private synchronized void appendHistory(String gateway, String name, Version version) {
    if (history == null) {
      return;
    }
    try {
      history.write(
          SyntheticTenants.nowMicros()
              + " "
              + gateway
              + " "
              + name
              + (version == null ? "" : " " + version.incarnation() + " " + version.sequence())
              + "\n");
      history.flush();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private synchronized void recordDelay(RecordChange record, Long previous) {
    if (previous == null) {
      return; // initial state at startup, not a change
    }
    steppedBack += previous > record.version().sequence() ? 1 : 0;
    long delayMicros =
        SyntheticTenants.nowMicros() - SyntheticTenants.writtenAtMicros(record.document());
    delays.recordValue(Math.max(0, Math.min(MAX_DELAY_MICROS, delayMicros)));
  }

  @Override
  public Integer call() throws Exception {
    JsonNode config = TenantSpecCodec.JSON.readTree(file.toFile());
    history =
        historyFile == null
            ? null
            : Files.newBufferedWriter(
                historyFile, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    appendHistory("life", "begins", null);
    Map<String, RecordTable> tables = new HashMap<>();
    ScheduledThreadPoolExecutor timer =
        DistributorProcess.newDaemonScheduler(TIMER_THREADS, "hollow-timer");
    HttpClient http = SubscribedRecords.httpClient(DistributionTimings.STANDARD);
    List<Lookup> lookups = new ArrayList<>();
    for (JsonNode each : config.path("gateways")) {
      SubscribedRecordsConfig settings =
          SubscribedRecordsConfig.read(each.path("distribution"), "/distribution");
      RecordTable table = new RecordTable(settings.name());
      SubscribedRecords records =
          new SubscribedRecords(
              settings,
              table,
              http,
              timer,
              SyntheticTenants::nowMicros,
              new Random(settings.name().hashCode()),
              System.out::println);
      tables.put(settings.name(), table);
      records.start();
      each.path("names").forEach(name -> lookups.add(new Lookup(records, name.asText())));
      each.path("names").forEach(name -> records.lookUp(name.asText()));
    }
    watchDirectly(config.path("direct"));
    Runtime.getRuntime().addShutdownHook(new Thread(() -> writeReport(tables)));
    for (Lookup lookup : lookups) {
      lookup.awaitResponse();
    }
    System.out.println(
        "all current after " + (SyntheticTenants.nowMicros() - startedAtMicros) / 1000 + " ms");
    Thread.currentThread().join();
    return 0;
  }

  /** Starts gateways that watch the coordination store directly, for comparison. */
  private void watchDirectly(JsonNode direct) {
    if (direct.isMissingNode()) {
      return;
    }
    String[] hostAndPort = direct.path("engine").asText().split(":");
    ConsulCoordinationStore coordinationStore =
        new ConsulCoordinationStore(
            hostAndPort[0], Integer.parseInt(hostAndPort[1]), Duration.ofMillis(1500));
    for (int i = 0; i < direct.path("count").asInt(); i++) {
      ChangeStore store = new ChangeStore(coordinationStore, direct.path("fleet").asText());
      Thread thread = new Thread(null, () -> watch(store), "direct-" + i, 256 << 10);
      thread.setDaemon(true);
      thread.start();
    }
  }

  private void watch(ChangeStore store) {
    try {
      ChangeStore.Head known = store.head();
      while (true) {
        ChangeStore.Head head = store.awaitHead(known);
        List<RecordChange> changes = store.changesBetween(known, head);
        known = head;
        for (RecordChange change : changes == null ? List.<RecordChange>of() : changes) {
          recordDelay(change, 0L);
        }
      }
    } catch (OperatorException e) {
      System.out.println("direct watch of the coordination store stopped: " + e.getMessage());
    }
  }

  private synchronized void writeReport(Map<String, RecordTable> tables) {
    ObjectNode report =
        TenantSpecCodec.JSON
            .createObjectNode()
            .put("count", delays.getTotalCount())
            .put("steppedBack", steppedBack);
    ObjectNode histogram = report.putObject("delays");
    delays
        .recordedValues()
        .forEach(
            bucket ->
                histogram.put(
                    Long.toString(bucket.getValueIteratedTo()),
                    bucket.getCountAtValueIteratedTo()));
    ObjectNode inForce = report.putObject("inForce");
    tables.forEach(
        (name, table) -> {
          ObjectNode sequences = inForce.putObject(name);
          table.copy().forEach(sequences::put);
        });
    try {
      Files.writeString(reportFile, report.toString());
    } catch (IOException e) {
      System.out.println("cannot write the report to " + reportFile + ": " + e);
    }
  }
}

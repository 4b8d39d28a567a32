package shelffront.lab.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import shelffront.controlplane.ChangeStore.RecordChanged;
import shelffront.coordination.OperatorException;
import shelffront.distribution.RecordChange;
import shelffront.distribution.Version;
import shelffront.lab.faultinjection.FaultProxy;
import shelffront.lab.scale.DistributionHistoryChecker.Acknowledged;
import shelffront.lab.scale.DistributionHistoryChecker.Cut;

/**
 * Runs one randomized fault schedule per seed on a fleet of processes while tenants are created,
 * changed and removed, and checks the histories of the gateways.
 */
@Command(
    name = "distribution-explore",
    mixinStandardHelpOptions = true,
    description = {
      "Runs two regions of two zones: a coordination store, six distributors, hollow gateways and"
          + " real gateways",
      "with clients, connected through fault proxies. Injects faults drawn from a seed while"
          + " tenants change, and",
      "checks the histories of the hollow gateways against the changes that the store"
          + " acknowledged.",
      "Exit codes: 0 no violation, 1 a seed failed; the output has the command that reproduces it."
    })
public final class DistributionExplore implements Callable<Integer> {

  private static final ScaledFleet.Size SIZE = new ScaledFleet.Size(24, 20, 8, 2, 2, 4, 0, 7);
  private static final long BOUND_MICROS = 14_000_000;
  private static final long MAX_HOLD_MILLIS = 5_000;
  private static final int STEPS = 8;

  /** A fault, or a burst of changes, in the schedule. */
  enum Step {
    KILL_ZONE_DISTRIBUTOR,
    STOP_ZONE_DISTRIBUTOR,
    KILL_REGION_DISTRIBUTOR,
    STOP_REGION_DISTRIBUTOR,
    SLOW_ZONE,
    CUT_ZONE,
    CUT_REGIONS,
    ENGINE_LEADERLESS,
    ENGINE_RESTARTS,
    ENGINE_RESTORED,
    RESTART_ZONE,
    BURST
  }

  @Option(names = "--seeds", defaultValue = "3", description = "number of seeds (${DEFAULT-VALUE})")
  private int seeds;

  @Option(names = "--from", defaultValue = "1", description = "the first seed (${DEFAULT-VALUE})")
  private long from;

  @Option(
      names = "--steps",
      defaultValue = "" + STEPS,
      description = "faults per seed (${DEFAULT-VALUE})")
  private int steps;

  @Option(
      names = "--bound-ms",
      defaultValue = "14000",
      description =
          "time until a change must be in force (${DEFAULT-VALUE}); if the value is too low, the"
              + " check must fail")
  private long boundMs;

  @Override
  public Integer call() throws Exception {
    int failed = 0;
    for (long seed = from; seed < from + seeds; seed++) {
      Path directory = Files.createTempDirectory("distribution-" + seed + "-");
      try (SeedRun seedRun = new SeedRun(directory, seed)) {
        List<String> violations = seedRun.run(steps, boundMs * 1000);
        System.out.println("seed " + seed + ": " + seedRun.summary());
        if (!violations.isEmpty()) {
          failed++;
          violations.stream().limit(5).forEach(failure -> System.out.println("  " + failure));
          System.out.println(
              "  reproduce with: java -jar lab/target/shelffront-lab.jar distribution-explore"
                  + " --from "
                  + seed
                  + " --seeds 1; log files are in "
                  + directory);
        }
      }
    }
    System.out.printf("%d seeds, %d failed%n", seeds, failed);
    return failed == 0 ? 0 : 1;
  }

  /** The fleet, the fault schedule and the check of one seed. */
  private static final class SeedRun implements AutoCloseable {

    private final UniformRandomProvider
        random; // for the schedule only, so that it depends on the seed alone
    private final UniformRandomProvider changeRandom;
    private final Map<String, FaultProxy> proxies = new TreeMap<>(); // by "SOURCE TARGET"
    private final ScaledFleet fleet;
    private final List<ClientProbe> clients = new ArrayList<>();
    private final Map<String, List<Acknowledged>> acknowledged = new HashMap<>();
    private final List<Cut> cuts = new ArrayList<>();
    private final List<String> performedSteps = new ArrayList<>();
    private final List<String> failures = new ArrayList<>();
    private Version newest = Version.NONE;
    private int rejected;
    private DistributionHistoryChecker histories = new DistributionHistoryChecker();

    SeedRun(Path directory, long seed) throws Exception {
      random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
      changeRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 1);
      fleet = new ScaledFleet(directory, SIZE, this::proxyAddress, true);
      fleet.start();
      for (int i = 0; i < SIZE.real(); i++) {
        clients.add(new ClientProbe(fleet.clientAddress(i), SyntheticTenants.COMMON));
      }
    }

    private String proxyAddress(String from, String target, String address) throws IOException {
      FaultProxy proxy = proxies.get(from + " " + target);
      if (proxy == null) {
        String[] hostAndPort = address.split(":");
        proxy =
            new FaultProxy(new InetSocketAddress(hostAndPort[0], Integer.parseInt(hostAndPort[1])));
        proxies.put(from + " " + target, proxy);
      }
      return proxy.address();
    }

    List<String> run(int count, long boundMicros) throws Exception {
      for (int i = 0; i < count; i++) {
        Step step = Step.values()[random.nextInt(Step.values().length)];
        int index = random.nextInt(4);
        performedSteps.add(step + " " + index);
        long beganMicros = SyntheticTenants.nowMicros();
        startFault(step, index);
        writeChangesFor(1000 + random.nextLong(MAX_HOLD_MILLIS), step == Step.BURST ? 20 : 300);
        endFault(step, index);
        String affectedZone =
            switch (step) {
              case CUT_ZONE -> "z" + index;
              case CUT_REGIONS, ENGINE_LEADERLESS, ENGINE_RESTARTS, ENGINE_RESTORED -> Cut.ALL;
              case RESTART_ZONE -> "z" + index;
              default -> null;
            };
        if (affectedZone != null) {
          cuts.add(new Cut(affectedZone, beganMicros, SyntheticTenants.nowMicros()));
        }
        writeChangesFor(1500, 300);
      }
      checkHistories(boundMicros);
      return failures;
    }

    private void startFault(Step step, int index) throws Exception {
      switch (step) {
        case KILL_ZONE_DISTRIBUTOR -> fleet.zones().get(index).process().kill();
        case STOP_ZONE_DISTRIBUTOR -> fleet.zones().get(index).process().signal("STOP");
        case KILL_REGION_DISTRIBUTOR -> fleet.regions().get(index % 2).process().kill();
        case STOP_REGION_DISTRIBUTOR -> fleet.regions().get(index % 2).process().signal("STOP");
        case SLOW_ZONE -> proxiesOutOf("z" + index).forEach(proxy -> proxy.slow(20, 4096));
        case CUT_ZONE -> proxiesOutOf("z" + index).forEach(proxy -> proxy.cut(true, true));
        case CUT_REGIONS -> proxiesBetweenRegions().forEach(proxy -> proxy.cut(true, true));
        case ENGINE_LEADERLESS -> fleet.injectStoreFault("leader=no");
        case ENGINE_RESTARTS -> {
          fleet.storeProcess().process().kill();
          fleet.storeProcess().start();
        }
        case ENGINE_RESTORED -> {
          fleet.injectStoreFault("keep");
          writeChangesFor(1000, 200);
          fleet.injectStoreFault("restore");
        }
        case RESTART_ZONE -> {
          fleet.hollow().get(index).process().kill();
          fleet.hollow().get(index).start();
        }
        default -> {}
      }
    }

    private void endFault(Step step, int index) throws Exception {
      switch (step) {
        case KILL_ZONE_DISTRIBUTOR -> fleet.zones().get(index).start();
        case STOP_ZONE_DISTRIBUTOR -> fleet.zones().get(index).process().signal("CONT");
        case KILL_REGION_DISTRIBUTOR -> fleet.regions().get(index % 2).start();
        case STOP_REGION_DISTRIBUTOR -> fleet.regions().get(index % 2).process().signal("CONT");
        case SLOW_ZONE, CUT_ZONE, CUT_REGIONS -> proxies.values().forEach(FaultProxy::heal);
        case ENGINE_LEADERLESS -> fleet.injectStoreFault("");
        case ENGINE_RESTORED -> beginIncarnation();
        case RESTART_ZONE -> fleet.awaitCurrent();
        default -> {}
      }
    }

    /**
     * Starts a new incarnation after the store was restored from its snapshot. Changes acknowledged
     * after the snapshot are no longer expected, because the restored store does not have them.
     */
    private void beginIncarnation() throws OperatorException {
      Version restored = fleet.store().head().version();
      acknowledged
          .values()
          .forEach(list -> list.removeIf(change -> restored.isBefore(change.version())));
      newest = fleet.store().beginIncarnation();
    }

    /** All proxies on connections that this part of the fleet opens. */
    private List<FaultProxy> proxiesOutOf(String from) {
      return proxies.entrySet().stream()
          .filter(entry -> entry.getKey().startsWith(from + " "))
          .map(Map.Entry::getValue)
          .toList();
    }

    /** Zones 0 and 1 and the coordination store are in the first region. */
    private List<FaultProxy> proxiesBetweenRegions() {
      List<FaultProxy> between = new ArrayList<>();
      proxies.forEach(
          (way, proxy) -> {
            String[] ends = way.split(" ");
            if (regionOf(ends[0]) != regionOf(ends[1])) {
              between.add(proxy);
            }
          });
      return between;
    }

    private static int regionOf(String part) {
      return switch (part) {
        case "r1", "z2", "z3" -> 1;
        default -> 0;
      };
    }

    // ---- Changes
    // --------------------------------------------------------------------------------

    private void writeChangesFor(long millis, long pauseMillis) throws InterruptedException {
      long untilMicros = SyntheticTenants.nowMicros() + millis * 1000;
      while (SyntheticTenants.nowMicros() < untilMicros) {
        writeRandomChange();
        Thread.sleep(pauseMillis);
      }
    }

    private void writeRandomChange() {
      int draw = changeRandom.nextInt(SIZE.tenants() + 1);
      boolean remove = changeRandom.nextInt(6) == 0 && draw > 0;
      String id = draw == 0 ? SyntheticTenants.COMMON : SyntheticTenants.tenantId(draw - 1);
      String name = "tenant/" + id;
      try {
        RecordChange current = fleet.store().record(name);
        remove &= current != null;
        String document =
            remove ? null : SyntheticTenants.document(id, SyntheticTenants.nowMicros()).toString();
        newest =
            fleet
                .store()
                .write(name, current == null ? 0 : current.version().sequence(), document, newest);
        acknowledged
            .computeIfAbsent(name, key -> new ArrayList<>())
            .add(new Acknowledged(name, newest, remove, SyntheticTenants.nowMicros()));
      } catch (OperatorException | RecordChanged e) {
        rejected++;
      }
    }

    // ---- Check of the histories
    // --------------------------------------------------------------------------------

    private void checkHistories(long boundMicros) throws Exception {
      Thread.sleep(BOUND_MICROS / 1000 + 1000); // any change not in force by then is late
      clients.forEach(client -> failures.addAll(client.stop()));
      fleet.terminateHollowGateways();
      for (int zone = 0; zone < SIZE.zones(); zone++) {
        histories.add("z" + zone, Files.readAllLines(fleet.historyFile(zone)));
      }
      for (Map.Entry<String, List<Acknowledged>> each : acknowledged.entrySet()) {
        List<String> serving = new ArrayList<>();
        for (int gateway = 0; gateway < SIZE.gateways(); gateway++) {
          if (SyntheticTenants.servedNames(
                      gateway, SIZE.tenants(), SIZE.namesPerGateway(), SIZE.seed())
                  .contains(each.getKey())
              && neverRemoved(each.getValue())) {
            serving.add("g" + gateway);
          }
        }
        histories.check(each.getKey(), serving, each.getValue(), cuts, boundMicros);
      }
      failures.addAll(histories.violations());
    }

    /**
     * Whether no change before the last is a removal. A gateway unsubscribes from a removed record
     * until a client requests the tenant again, which no client does here.
     */
    private static boolean neverRemoved(List<Acknowledged> changes) {
      for (int i = 0; i < changes.size() - 1; i++) {
        if (changes.get(i).removal()) {
          return false;
        }
      }
      return true;
    }

    String summary() {
      List<Long> delays = new ArrayList<>(histories.delaysMicros());
      Collections.sort(delays);
      long served = clients.stream().mapToLong(ClientProbe::served).sum();
      return String.format(
          Locale.ROOT,
          "%d changes, %d rejected, %d in force, median %.2f s, slowest %.2f s, "
              + "%d clients served, %s",
          acknowledged.values().stream().mapToInt(List::size).sum(),
          rejected,
          delays.size(),
          delays.isEmpty() ? 0 : delays.get(delays.size() / 2) / 1e6,
          delays.isEmpty() ? 0 : delays.get(delays.size() - 1) / 1e6,
          served,
          String.join(", ", performedSteps));
    }

    @Override
    public void close() throws IOException {
      clients.forEach(ClientProbe::stop);
      fleet.close();
      for (FaultProxy proxy : proxies.values()) {
        proxy.close();
      }
    }
  }
}

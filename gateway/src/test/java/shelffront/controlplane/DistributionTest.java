package shelffront.controlplane;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.net.http.HttpClient;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import shelffront.coordination.InMemoryCoordinationStore;
import shelffront.distribution.DistributionTimings;
import shelffront.distribution.DistributorEndpoint;
import shelffront.distribution.DistributorSelector;
import shelffront.distribution.RecordChange;
import shelffront.distribution.Version;

/**
 * Change store, distributors and the records of gateways in one process, connected over loopback.
 */
class DistributionTest {

  /** The standard timings with a tenth of the poll wait, jitter and apply time. */
  private static final DistributionTimings SHORT_TIMINGS =
      new DistributionTimings(150_000, 500_000, 40_000, 500_000, 50_000);

  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  @TempDir private Path directory;

  private final InMemoryCoordinationStore engine = new InMemoryCoordinationStore();
  private final ChangeStore store = new ChangeStore(engine, "f");
  private final ScheduledThreadPoolExecutor timer =
      DistributorProcess.newDaemonScheduler(4, "test-timer");
  private final ExecutorService responseExecutor = Executors.newFixedThreadPool(8);
  private final HttpClient http = SubscribedRecords.httpClient(SHORT_TIMINGS);
  private final List<AutoCloseable> open = new ArrayList<>();
  private final ConcurrentLinkedQueue<String> log = new ConcurrentLinkedQueue<>();

  /** The records that a gateway has in force. */
  private static final class AppliedRecords implements SubscribedRecords.RecordApplier {

    private final Map<String, String> documents = new ConcurrentHashMap<>();

    @Override
    public String apply(RecordChange record) {
      if (record.document().startsWith("invalid")) {
        return "invalid document";
      }
      documents.put(record.name(), record.document());
      return null;
    }

    @Override
    public void remove(String name) {
      documents.remove(name);
    }

    @Override
    public void onVersionReached(Version version) {}
  }

  private static long clock() {
    return System.nanoTime() / 1000;
  }

  private DistributionServer distributor(int port, DistributorEndpoint upstream) throws Exception {
    Distributor distributor = new Distributor(timer, responseExecutor, DistributionTest::clock);
    DistributionServer server =
        new DistributionServer(
            new InetSocketAddress("127.0.0.1", port),
            distributor,
            responseExecutor,
            line -> log.add(line.toString()));
    if (upstream == null) {
      EngineFollower follower =
          new EngineFollower(
              store, distributor, DistributionTest::clock, line -> log.add(line.toString()));
      open.add(follower);
      follower.start();
    } else {
      Subscriber subscriber =
          new Subscriber(
              new Subscriber.Settings("d", SHORT_TIMINGS, 2_000_000),
              new UpstreamFollower("d", distributor),
              http,
              new DistributorSelector("d", "", "", List.of(upstream), 0, new Random(1)),
              timer,
              DistributionTest::clock,
              line -> log.add(line.toString()));
      open.add(subscriber);
      subscriber.start();
    }
    open.add(server);
    server.start();
    return server;
  }

  private static DistributorEndpoint endpoint(DistributionServer server) {
    return new DistributorEndpoint("127.0.0.1:" + server.address().getPort(), "", "");
  }

  private SubscribedRecords gateway(
      String name, AppliedRecords applied, Path file, DistributorEndpoint... distributors) {
    SubscribedRecordsConfig config =
        new SubscribedRecordsConfig(
            name,
            "f",
            "",
            "",
            List.of(distributors),
            null,
            file,
            SHORT_TIMINGS,
            2_000_000,
            4_000_000);
    SubscribedRecords records =
        new SubscribedRecords(
            config,
            applied,
            http,
            timer,
            DistributionTest::clock,
            new Random(1),
            line -> log.add(line.toString()));
    open.add(records);
    records.start();
    return records;
  }

  @AfterEach
  void close() throws Exception {
    for (AutoCloseable each : open) {
      each.close();
    }
    timer.shutdownNow();
    responseExecutor.shutdownNow();
  }

  /**
   * Looks a name up, and repeats lookups that fail because the distributor may have just started.
   */
  private static boolean lookUpWithRetries(SubscribedRecords records, String name) {
    AtomicBoolean found = new AtomicBoolean();
    await()
        .atMost(TIMEOUT)
        .ignoreExceptionsInstanceOf(ExecutionException.class)
        .until(
            () -> {
              found.set(records.lookUp(name).get(20, TimeUnit.SECONDS));
              return true;
            });
    return found.get();
  }

  @Test
  void changePropagatesThroughTwoDistributorsToItsSubscribersOnly() throws Exception {
    store.write("a", 0, "one", Version.NONE);
    store.write("b", 0, "two", Version.NONE);
    DistributorEndpoint region = endpoint(distributor(0, null));
    DistributorEndpoint zone = endpoint(distributor(0, region));
    AppliedRecords applied = new AppliedRecords();
    SubscribedRecords gateway = gateway("g", applied, null, zone);
    assertTrue(lookUpWithRetries(gateway, "a"));
    assertEquals(Map.of("a", "one"), applied.documents);
    store.write("a", 1, "three", Version.NONE);
    store.write("b", 2, "four", Version.NONE);
    await().atMost(TIMEOUT).until(() -> Map.of("a", "three").equals(applied.documents));
    store.write("a", 3, null, Version.NONE);
    await().atMost(TIMEOUT).until(applied.documents::isEmpty);
    assertFalse(lookUpWithRetries(gateway, "a"), "a removed record is not found");
  }

  @Test
  void absentNameIsFoundAfterItsRecordIsCreated() throws Exception {
    store.write("a", 0, "one", Version.NONE);
    DistributorEndpoint region = endpoint(distributor(0, null));
    AppliedRecords applied = new AppliedRecords();
    SubscribedRecords gateway = gateway("g", applied, null, region);
    assertFalse(lookUpWithRetries(gateway, "late"));
    store.write("late", 0, "created", Version.NONE);
    await().atMost(TIMEOUT).until(() -> lookUpWithRetries(gateway, "late"));
    assertEquals("created", applied.documents.get("late"));
  }

  @Test
  void unsubscribedNameIsFetchedAndFollowedAgainOnNextLookup() throws Exception {
    store.write("a", 0, "one", Version.NONE);
    store.write("b", 0, "other", Version.NONE);
    AppliedRecords applied = new AppliedRecords();
    SubscribedRecords gateway = gateway("g", applied, null, endpoint(distributor(0, null)));
    assertTrue(lookUpWithRetries(gateway, "a"));
    gateway.unsubscribe("a");
    assertEquals(Map.of(), applied.documents);
    store.write("a", 1, "two", Version.NONE);
    assertTrue(lookUpWithRetries(gateway, "b"));
    await()
        .atMost(TIMEOUT)
        .until(() -> lookUpWithRetries(gateway, "a") && "two".equals(applied.documents.get("a")));
    store.write("a", 3, "three", Version.NONE);
    await().atMost(TIMEOUT).until(() -> "three".equals(applied.documents.get("a")));
  }

  /**
   * While no distributor responds, lookups of ever more names must not accumulate without bound.
   */
  @Test
  void pendingLookupsAreBoundedWhileNoDistributorResponds() {
    SubscribedRecords gateway =
        gateway("g", new AppliedRecords(), null, new DistributorEndpoint("127.0.0.1:9", "", ""));
    for (int i = 0; i < RecordLookups.MAX_PENDING; i++) {
      assertFalse(gateway.lookUp("n" + i).isDone());
    }
    assertTrue(gateway.lookUp("one more").isCompletedExceptionally());
    assertFalse(
        gateway.lookUp("n0").isCompletedExceptionally(), "lookups that were pending stay pending");
  }

  @Test
  void invalidRecordLeavesPreviousStateInForceAndIsReported() throws Exception {
    store.write("a", 0, "one", Version.NONE);
    AppliedRecords applied = new AppliedRecords();
    SubscribedRecords gateway = gateway("g", applied, null, endpoint(distributor(0, null)));
    assertTrue(lookUpWithRetries(gateway, "a"));
    store.write("a", 1, "invalid", Version.NONE);
    await().atMost(TIMEOUT).until(() -> gateway.status().rejectionReasons().containsKey("a"));
    assertEquals("one", applied.documents.get("a"));
    await()
        .atMost(TIMEOUT)
        .until(
            () ->
                log.stream().anyMatch(line -> line.startsWith("record-rejected by a subscriber")));
    store.write("a", 2, "three", Version.NONE);
    await().atMost(TIMEOUT).until(() -> "three".equals(applied.documents.get("a")));
    assertTrue(gateway.status().rejectionReasons().isEmpty());
  }

  /**
   * When its distributor closes, the gateway switches to the other one. When that closes too, the
   * gateway keeps serving its records and reports the age of its view as an error.
   */
  @Test
  void switchesToAnotherDistributorAndKeepsServingWithoutAny() throws Exception {
    store.write("a", 0, "one", Version.NONE);
    DistributionServer first = distributor(0, null);
    DistributionServer second = distributor(0, null);
    AppliedRecords applied = new AppliedRecords();
    SubscribedRecords gateway = gateway("g", applied, null, endpoint(first), endpoint(second));
    assertTrue(lookUpWithRetries(gateway, "a"));
    DistributionServer followed =
        gateway.status().followedDistributor().equals(endpoint(first).address()) ? first : second;
    followed.close();
    store.write("a", 1, "two", Version.NONE);
    await().atMost(TIMEOUT).until(() -> "two".equals(applied.documents.get("a")));
    (followed == first ? second : first).close();
    await().atMost(TIMEOUT).until(() -> "view-too-old".equals(gateway.status().errorCode()));
    assertEquals("two", applied.documents.get("a"));
    distributor(followed.address().getPort(), null);
    await().atMost(TIMEOUT).until(() -> gateway.status().errorCode() == null);
    store.write("a", 2, "three", Version.NONE);
    await().atMost(TIMEOUT).until(() -> "three".equals(applied.documents.get("a")));
  }

  @Test
  void gatewayRestartedWithoutDistributorServesLastKnownGood() throws Exception {
    store.write("a", 0, "one", Version.NONE);
    DistributionServer server = distributor(0, null);
    Path file = directory.resolve("last-known-good.json");
    SubscribedRecords before = gateway("g", new AppliedRecords(), file, endpoint(server));
    assertTrue(lookUpWithRetries(before, "a"));
    before.close();
    server.close();
    store.write("a", 1, "two", Version.NONE);
    AppliedRecords applied = new AppliedRecords();
    gateway("g", applied, file, endpoint(server));
    assertEquals(Map.of("a", "one"), applied.documents);
    distributor(server.address().getPort(), null);
    await().atMost(TIMEOUT).until(() -> "two".equals(applied.documents.get("a")));
  }

  /**
   * Distributors must not serve the records of an engine that was restored from older data until an
   * operator has declared them valid by starting a new incarnation.
   */
  @Test
  void restoredEngineChangesNothingUntilNewIncarnation() throws Exception {
    store.write("a", 0, "one", Version.NONE);
    var backup = engine.copy();
    AppliedRecords applied = new AppliedRecords();
    SubscribedRecords gateway = gateway("g", applied, null, endpoint(distributor(0, null)));
    assertTrue(lookUpWithRetries(gateway, "a"));
    store.write("a", 1, "two", Version.NONE);
    await().atMost(TIMEOUT).until(() -> "two".equals(applied.documents.get("a")));
    engine.restore(backup);
    await()
        .atMost(TIMEOUT)
        .until(() -> log.stream().anyMatch(line -> line.contains("engine-stepped-back")));
    assertEquals("two", applied.documents.get("a"));
    store.beginIncarnation();
    await().atMost(TIMEOUT).until(() -> "one".equals(applied.documents.get("a")));
    store.write("a", 1, "three", Version.NONE);
    await().atMost(TIMEOUT).until(() -> "three".equals(applied.documents.get("a")));
  }
}

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

/** Engine, distributors and gateways' records in one process, over loopback. */
class DistributionTest {

  /** As the standard ones, a tenth as long. */
  private static final DistributionTimings QUICK =
      new DistributionTimings(150_000, 500_000, 40_000, 500_000, 50_000);

  private static final Duration MOST = Duration.ofSeconds(20);

  @TempDir private Path directory;

  private final InMemoryCoordinationStore engine = new InMemoryCoordinationStore();
  private final ChangeStore store = new ChangeStore(engine, "f");
  private final ScheduledThreadPoolExecutor timer = DistributorProcess.newTimer(4, "test-timer");
  private final ExecutorService answers = Executors.newFixedThreadPool(8);
  private final HttpClient http = SubscribedRecords.httpClient(QUICK);
  private final List<AutoCloseable> open = new ArrayList<>();
  private final ConcurrentLinkedQueue<String> log = new ConcurrentLinkedQueue<>();

  /** What a gateway has in force. */
  private static final class Force implements SubscribedRecords.RecordApplier {

    private final Map<String, String> documents = new ConcurrentHashMap<>();

    @Override
    public String apply(RecordChange record) {
      if (record.document().startsWith("bad")) {
        return "it is bad";
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
    Distributor distributor = new Distributor(timer, answers, DistributionTest::clock);
    DistributionServer server =
        new DistributionServer(
            new InetSocketAddress("127.0.0.1", port),
            distributor,
            answers,
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
              new Subscriber.Settings("d", QUICK, 2_000_000),
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
      String name, Force force, Path file, DistributorEndpoint... distributors) {
    SubscribedRecordsConfig config =
        new SubscribedRecordsConfig(
            name, "f", "", "", List.of(distributors), null, file, QUICK, 2_000_000, 4_000_000);
    SubscribedRecords records =
        new SubscribedRecords(
            config,
            force,
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
    answers.shutdownNow();
  }

  /** Asks again where nobody could tell in time: the distributor may have started just now. */
  private static boolean found(SubscribedRecords records, String name) {
    AtomicBoolean found = new AtomicBoolean();
    await()
        .atMost(MOST)
        .ignoreExceptionsInstanceOf(ExecutionException.class)
        .until(
            () -> {
              found.set(records.lookUp(name).get(20, TimeUnit.SECONDS));
              return true;
            });
    return found.get();
  }

  @Test
  void aChangeComesThroughTwoDistributorsToWhoFollowsItAlone() throws Exception {
    store.write("a", 0, "one", Version.NONE);
    store.write("b", 0, "two", Version.NONE);
    DistributorEndpoint region = endpoint(distributor(0, null));
    DistributorEndpoint zone = endpoint(distributor(0, region));
    Force force = new Force();
    SubscribedRecords gateway = gateway("g", force, null, zone);
    assertTrue(found(gateway, "a"));
    assertEquals(Map.of("a", "one"), force.documents);
    store.write("a", 1, "three", Version.NONE);
    store.write("b", 2, "four", Version.NONE);
    await().atMost(MOST).until(() -> Map.of("a", "three").equals(force.documents));
    store.write("a", 3, null, Version.NONE);
    await().atMost(MOST).until(force.documents::isEmpty);
    assertFalse(found(gateway, "a"), "removed is removed");
  }

  @Test
  void namesThatNobodyHasAreAskedForOnceInAWhileAndFoundOnceTheyAreMade() throws Exception {
    store.write("a", 0, "one", Version.NONE);
    DistributorEndpoint region = endpoint(distributor(0, null));
    Force force = new Force();
    SubscribedRecords gateway = gateway("g", force, null, region);
    assertFalse(found(gateway, "nobody"));
    store.write("nobody", 0, "somebody", Version.NONE);
    await().atMost(MOST).until(() -> found(gateway, "nobody"));
    assertEquals("somebody", force.documents.get("nobody"));
  }

  @Test
  void aNameThatIsLetGoIsFetchedAnewByItsNextClientAndFollowedAgain() throws Exception {
    store.write("a", 0, "one", Version.NONE);
    store.write("b", 0, "other", Version.NONE);
    Force force = new Force();
    SubscribedRecords gateway = gateway("g", force, null, endpoint(distributor(0, null)));
    assertTrue(found(gateway, "a"));
    gateway.unsubscribe("a");
    assertEquals(Map.of(), force.documents);
    store.write("a", 1, "two", Version.NONE);
    assertTrue(found(gateway, "b"));
    await().atMost(MOST).until(() -> found(gateway, "a") && "two".equals(force.documents.get("a")));
    store.write("a", 3, "three", Version.NONE);
    await().atMost(MOST).until(() -> "three".equals(force.documents.get("a")));
  }

  /** While no distributor answers, names that are asked for must not pile up without bound. */
  @Test
  void aFloodOfNamesStopsAtTheGatewayWhileNobodyAnswers() {
    SubscribedRecords gateway =
        gateway("g", new Force(), null, new DistributorEndpoint("127.0.0.1:9", "", ""));
    for (int i = 0; i < RecordLookups.MAX_PENDING; i++) {
      assertFalse(gateway.lookUp("n" + i).isDone());
    }
    assertTrue(gateway.lookUp("one more").isCompletedExceptionally());
    assertFalse(
        gateway.lookUp("n0").isCompletedExceptionally(), "who waits already goes on waiting");
  }

  @Test
  void aRecordThatIsNotValidLeavesTheOneBeforeAndIsReported() throws Exception {
    store.write("a", 0, "one", Version.NONE);
    Force force = new Force();
    SubscribedRecords gateway = gateway("g", force, null, endpoint(distributor(0, null)));
    assertTrue(found(gateway, "a"));
    store.write("a", 1, "bad", Version.NONE);
    await().atMost(MOST).until(() -> gateway.status().rejectionReasons().containsKey("a"));
    assertEquals("one", force.documents.get("a"));
    await()
        .atMost(MOST)
        .until(
            () ->
                log.stream().anyMatch(line -> line.startsWith("record-rejected by a subscriber")));
    store.write("a", 2, "three", Version.NONE);
    await().atMost(MOST).until(() -> "three".equals(force.documents.get("a")));
    assertTrue(gateway.status().rejectionReasons().isEmpty());
  }

  /**
   * One distributor ends, and the other one has it go on; with none it serves on, and says how old
   * its view is.
   */
  @Test
  void itGoesOnWithAnotherDistributorAndServesOnWithNone() throws Exception {
    store.write("a", 0, "one", Version.NONE);
    DistributionServer first = distributor(0, null);
    DistributionServer second = distributor(0, null);
    Force force = new Force();
    SubscribedRecords gateway = gateway("g", force, null, endpoint(first), endpoint(second));
    assertTrue(found(gateway, "a"));
    DistributionServer followed =
        gateway.status().followedDistributor().equals(endpoint(first).address()) ? first : second;
    followed.close();
    store.write("a", 1, "two", Version.NONE);
    await().atMost(MOST).until(() -> "two".equals(force.documents.get("a")));
    (followed == first ? second : first).close();
    await().atMost(MOST).until(() -> "view-too-old".equals(gateway.status().errorCode()));
    assertEquals("two", force.documents.get("a"));
    distributor(followed.address().getPort(), null);
    await().atMost(MOST).until(() -> gateway.status().errorCode() == null);
    store.write("a", 2, "three", Version.NONE);
    await().atMost(MOST).until(() -> "three".equals(force.documents.get("a")));
  }

  @Test
  void aGatewayThatStartsAgainWhileNothingAnswersHasWhatItHad() throws Exception {
    store.write("a", 0, "one", Version.NONE);
    DistributionServer server = distributor(0, null);
    Path file = directory.resolve("kept.json");
    SubscribedRecords before = gateway("g", new Force(), file, endpoint(server));
    assertTrue(found(before, "a"));
    before.close();
    server.close();
    store.write("a", 1, "two", Version.NONE);
    Force force = new Force();
    gateway("g", force, file, endpoint(server));
    assertEquals(Map.of("a", "one"), force.documents);
    distributor(server.address().getPort(), null);
    await().atMost(MOST).until(() -> "two".equals(force.documents.get("a")));
  }

  /**
   * An engine restored from older data gives out nothing until somebody has said that it holds the
   * truth.
   */
  @Test
  void aRestoredEngineChangesNothingUntilANewIncarnationIsBegun() throws Exception {
    store.write("a", 0, "one", Version.NONE);
    var kept = engine.copy();
    Force force = new Force();
    SubscribedRecords gateway = gateway("g", force, null, endpoint(distributor(0, null)));
    assertTrue(found(gateway, "a"));
    store.write("a", 1, "two", Version.NONE);
    await().atMost(MOST).until(() -> "two".equals(force.documents.get("a")));
    engine.restore(kept);
    await()
        .atMost(MOST)
        .until(() -> log.stream().anyMatch(line -> line.contains("engine-stepped-back")));
    assertEquals("two", force.documents.get("a"));
    store.beginIncarnation();
    await().atMost(MOST).until(() -> "one".equals(force.documents.get("a")));
    store.write("a", 1, "three", Version.NONE);
    await().atMost(MOST).until(() -> "three".equals(force.documents.get("a")));
  }
}

package shelffront.controlplane;

import java.io.IOException;
import java.net.http.HttpClient;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import shelffront.controlplane.DistributionException.DistributionGarbled;
import shelffront.controlplane.DistributionException.LookupsFull;
import shelffront.controlplane.DistributionException.RecordRejected;
import shelffront.controlplane.DistributionException.ViewTooOld;
import shelffront.distribution.DistributionTimings;
import shelffront.distribution.DistributorEndpoint;
import shelffront.distribution.DistributorSelector;
import shelffront.distribution.NegativeCache;
import shelffront.distribution.RecordChange;
import shelffront.distribution.ReplicatedView;
import shelffront.distribution.Staleness;
import shelffront.distribution.Version;
import shelffront.net.EventLog;

/**
 * A gateway's part in distribution: the records of the names that it serves, kept current by a
 * subscription, put in force in their order, and kept on disk where it has one. A name is followed
 * from its first use on; names that nobody has are remembered for a while. Any thread may call;
 * nothing waits.
 */
public final class SubscribedRecords implements Subscriber.Owner, AutoCloseable {

  /** Puts records in force. Called in the order of changes, never twice at once. */
  public interface RecordApplier {

    /** Null where it was put in force; else why it is not valid, and what it replaces stays. */
    String apply(RecordChange record);

    void remove(String name);

    /**
     * The view has come to this version: every change up to it is in force here, or concerns
     * nothing here.
     */
    void onVersionReached(Version version);
  }

  private static final int MOST_ABSENT = 10_000;

  /**
   * Names asked for that nobody has answered yet: while no distributor does, a flood of them stops
   * here.
   */
  static final int MOST_LOOKUPS = 10_000;

  private static final long ABSENT_FOR = 5_000_000;
  private static final long KEEP_DELAY_MILLIS = 200;
  private static final long AGE_CHECK_MILLIS = 1_000;

  /** How long somebody waits for a record that nobody can give. */
  private static final long LOOKUP_MILLIS = 2_000;

  private final SubscribedRecordsConfig config;
  private final RecordApplier target;
  private final EventLog log;
  private final ScheduledExecutorService timer;
  private final LongSupplier clock;
  private final Subscriber subscriber;
  private final LastKnownGood lastKnownGood; // null where it has no disk
  private final ReplicatedView view = new ReplicatedView();
  private final Staleness freshness = new Staleness();
  private final NegativeCache absent = new NegativeCache(MOST_ABSENT, ABSENT_FOR);
  private final Map<String, CompletableFuture<Boolean>> lookups = new HashMap<>();
  private final Map<String, RecordChange> inForce = new HashMap<>();
  private final Map<String, String> rejected =
      new HashMap<>(); // by name, why its newest state is not in force
  private boolean keeping; // a write of the last known good is due
  private boolean tooOld;
  private long startedAt;

  /** The clock is monotonic, in microseconds. */
  public SubscribedRecords(
      SubscribedRecordsConfig config,
      RecordApplier target,
      HttpClient http,
      ScheduledExecutorService timer,
      LongSupplier clock,
      Random random,
      EventLog log) {
    this.config = config;
    this.target = target;
    this.timer = timer;
    this.clock = clock;
    this.log = log;
    lastKnownGood =
        config.lastKnownGoodFile() == null ? null : new LastKnownGood(config.lastKnownGoodFile());
    DistributorSelector choice =
        new DistributorSelector(
            config.name(),
            config.region(),
            config.zone(),
            config.distributors(),
            config.timings().reconnectJitterMicros(),
            random);
    subscriber =
        new Subscriber(
            config.name(),
            this,
            http,
            choice,
            config.timings(),
            config.staleAfterMicros(),
            timer,
            clock,
            log);
  }

  /** The client that all calls go through; several subscribers of one process may share it. */
  public static HttpClient httpClient(DistributionTimings timings) {
    return HttpClient.newBuilder()
        .version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(Duration.ofNanos(timings.connectTimeoutMicros() * 1000))
        .build();
  }

  /** Puts in force what was kept, then follows the distributors. */
  public void start() {
    synchronized (this) {
      startedAt = clock.getAsLong();
      restore();
    }
    subscriber.start();
    timer.scheduleWithFixedDelay(
        this::checkAge, AGE_CHECK_MILLIS, AGE_CHECK_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void restore() {
    if (lastKnownGood == null) {
      return;
    }
    try {
      LastKnownGood.Kept kept = lastKnownGood.read();
      if (kept != null) {
        view.restore(kept.version(), kept.records());
        kept.records().forEach(this::putInForce);
        log.println("begins with " + kept.records().size() + " records as last known");
      }
    } catch (IOException | DistributionGarbled e) {
      log.println("the last known good can't be read, it begins without: " + e.getMessage());
    }
  }

  /**
   * Whether a name has a record, which is in force then. The first who asks for a name has it
   * followed; others who ask meanwhile wait for the same answer. Completed exceptionally where
   * nobody can tell in time.
   */
  public synchronized CompletableFuture<Boolean> lookUp(String name) {
    if (inForce.containsKey(name)) {
      return CompletableFuture.completedFuture(true);
    }
    if (absent.contains(name, clock.getAsLong()) || view.follows(name)) {
      return CompletableFuture.completedFuture(false);
    }
    CompletableFuture<Boolean> pending = lookups.get(name);
    if (pending == null && lookups.size() >= MOST_LOOKUPS) {
      return CompletableFuture.failedFuture(new LookupsFull(lookups.size()));
    }
    if (pending == null) {
      pending = new CompletableFuture<>();
      lookups.put(name, pending);
      List<String> names = List.of(name);
      timer.execute(() -> subscriber.want(names));
    }
    return pending.copy().orTimeout(LOOKUP_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Follows a name no longer, and has it put out of force here. */
  public synchronized void unsubscribe(String name) {
    view.unfollow(name);
    timer.execute(() -> subscriber.forget(name));
    if (inForce.remove(name) != null) {
      target.remove(name);
      keepSoon();
    }
  }

  // ---- From the subscription
  // --------------------------------------------------------------------------------

  @Override
  public synchronized DistributionMessages.Subscribe subscribing() {
    return new DistributionMessages.Subscribe(
        config.name(), false, view.edition(), List.copyOf(view.names()));
  }

  @Override
  public synchronized Version version() {
    return view.version();
  }

  @Override
  public synchronized boolean polled(DistributionMessages.Polled answer) {
    Version before = view.version();
    view.apply(answer.update(), answer.edition()).forEach(this::takeUp);
    if (!view.version().equals(before)) {
      target.onVersionReached(view.version());
    }
    return true;
  }

  @Override
  public synchronized long beginAdding(List<String> names) {
    return view.beginEdition();
  }

  @Override
  public synchronized boolean added(List<String> names, DistributionMessages.Added answer) {
    Map<String, RecordChange> found = new HashMap<>();
    answer.records().forEach(r -> found.put(r.name(), r));
    if (answer.version().isBefore(view.version())) {
      return false;
    }
    for (String name : names) {
      RecordChange record = found.get(name);
      if (record == null) {
        absent.add(name, clock.getAsLong());
      } else {
        view.follow(name, record, answer.version());
        absent.remove(name);
        takeUp(view.record(name));
      }
      CompletableFuture<Boolean> pending = lookups.remove(name);
      if (pending != null) {
        pending.complete(inForce.containsKey(name));
      }
    }
    return true;
  }

  @Override
  public synchronized void confirmed(long sentAt, long statedAge) {
    freshness.confirm(sentAt, statedAge);
  }

  private void takeUp(RecordChange change) {
    if (change.isRemoval()) {
      inForce.remove(change.name());
      rejected.remove(change.name());
      target.remove(change.name());
    } else {
      putInForce(change);
    }
    keepSoon();
  }

  private void putInForce(RecordChange change) {
    String reason = target.apply(change);
    if (reason == null) {
      inForce.put(change.name(), change);
      rejected.remove(change.name());
      return;
    }
    RecordRejected e = new RecordRejected(change.name(), change.version(), reason);
    log.println(e.code() + ": " + e.getMessage() + ". " + e.advice());
    rejected.put(change.name(), reason);
    DistributionMessages.Rejected told =
        new DistributionMessages.Rejected(change.name(), change.version(), reason);
    timer.execute(() -> subscriber.reject(told));
  }

  // ---- What was in force, kept
  // --------------------------------------------------------------------------------

  private void keepSoon() {
    if (lastKnownGood != null && !keeping) {
      keeping = true;
      timer.schedule(this::keep, KEEP_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void keep() {
    LastKnownGood.Kept kept;
    synchronized (this) {
      keeping = false;
      kept = new LastKnownGood.Kept(view.version(), new ArrayList<>(inForce.values()));
    }
    try {
      lastKnownGood.write(kept);
    } catch (IOException e) {
      log.println(
          "the last known good can't be written, a restart would begin with older records: " + e);
    }
  }

  // ---- Age
  // --------------------------------------------------------------------------------

  private synchronized void checkAge() {
    ViewTooOld e = ageError();
    if (e != null && !tooOld) {
      log.println(e.code() + ": " + e.getMessage() + ". " + e.advice());
    } else if (e == null && tooOld) {
      log.println("the configuration is current again");
    }
    tooOld = e != null;
  }

  private ViewTooOld ageError() {
    long now = clock.getAsLong();
    long age = freshness.maxAgeMicros(now);
    boolean starting = age == Staleness.NEVER && now - startedAt <= config.maxAgeMicros();
    return starting || age <= config.maxAgeMicros()
        ? null
        : new ViewTooOld(age == Staleness.NEVER ? -1 : age / 1000, config.maxAgeMicros() / 1000);
  }

  /**
   * What an administrator sees of it.
   *
   * @param ageMillis -1 where it was never current since the start
   * @param errorCode the code of what an operator should look at; null where nothing is
   */
  public record Status(
      Version version,
      long ageMillis,
      String followedDistributor,
      int subscribedNames,
      int recordsInForce,
      Map<String, String> rejectionReasons,
      String errorCode,
      String advice) {}

  public Status status() {
    DistributorEndpoint following = subscriber.following();
    return status(following);
  }

  private synchronized Status status(DistributorEndpoint following) {
    long age = freshness.maxAgeMicros(clock.getAsLong());
    ViewTooOld e = ageError();
    return new Status(
        view.version(),
        age == Staleness.NEVER ? -1 : age / 1000,
        following == null ? null : following.address(),
        view.names().size(),
        inForce.size(),
        Map.copyOf(rejected),
        e == null ? null : e.code(),
        e == null ? null : e.advice());
  }

  @Override
  public void close() {
    subscriber.close();
    if (lastKnownGood != null) {
      keep();
    }
  }
}

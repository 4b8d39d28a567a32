package shelffront.controlplane;

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
import shelffront.controlplane.DistributionException.LookupsFull;
import shelffront.controlplane.DistributionException.RecordRejected;
import shelffront.controlplane.DistributionException.ViewTooOld;
import shelffront.distribution.DistributionTimings;
import shelffront.distribution.DistributorEndpoint;
import shelffront.distribution.RecordChange;
import shelffront.distribution.ReplicatedView;
import shelffront.distribution.Version;
import shelffront.net.EventLog;

/**
 * A gateway's part in distribution: the records of the names that it serves, kept current by a
 * subscription, put in force, and cached on disk where it has one.
 *
 * <p>Invariants: records are put in force in the order of their changes, and never an older state
 * after a newer one. A name is followed from its first use on; a record that is not valid leaves
 * the one before in force.
 *
 * <p>Threads: any may call; nothing waits. State is guarded by this object's lock, under which the
 * {@link RecordApplier} is called. The subscriber is called on the timer's threads only: it has a
 * lock of its own, under which it calls back here.
 */
public final class SubscribedRecords implements Subscriber.Owner, AutoCloseable {

  /** Puts records in force. Called in the order of changes, never twice at once. */
  public interface RecordApplier {

    /** Null where it was put in force; else why it is not valid, and what it replaces stays. */
    String apply(RecordChange record);

    /** Takes a record out of force. */
    void remove(String name);

    /**
     * The view has come to this version: every change up to it is in force here, or concerns
     * nothing here.
     */
    void onVersionReached(Version version);
  }

  private static final long AGE_CHECK_INTERVAL_MILLIS = 1_000;
  private static final long NANOS_PER_MICRO = 1000;

  /** How long somebody waits for a record that nobody can give. */
  private static final long LOOKUP_TIMEOUT_MILLIS = 2_000;

  private final SubscribedRecordsConfig config;
  private final RecordApplier applier;
  private final EventLog log;
  private final ScheduledExecutorService timer;
  private final LongSupplier clock;
  private final Subscriber subscriber;
  private final LastKnownGoodCache lastKnownGood;
  private final ViewAgeMonitor viewAge;
  private final ReplicatedView view = new ReplicatedView();
  private final RecordLookups lookups = new RecordLookups();
  private final Map<String, RecordChange> inForce = new HashMap<>();
  private final Map<String, String> rejectionReasons = new HashMap<>(); // of the newest states

  /** The clock is monotonic, in microseconds. */
  public SubscribedRecords(
      SubscribedRecordsConfig config,
      RecordApplier applier,
      HttpClient http,
      ScheduledExecutorService timer,
      LongSupplier clock,
      Random random,
      EventLog log) {
    this.config = config;
    this.applier = applier;
    this.timer = timer;
    this.clock = clock;
    this.log = log;
    lastKnownGood =
        new LastKnownGoodCache(config.lastKnownGoodFile(), this::contentsInForce, timer, log);
    viewAge = new ViewAgeMonitor(config.maxAgeMicros(), log);
    subscriber =
        new Subscriber(
            config.subscriberSettings(), this, http, config.newSelector(random), timer, clock, log);
  }

  /** The client that all calls go through; several subscribers of one process may share it. */
  public static HttpClient httpClient(DistributionTimings timings) {
    return HttpClient.newBuilder()
        .version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(Duration.ofNanos(timings.connectTimeoutMicros() * NANOS_PER_MICRO))
        .build();
  }

  /** Puts in force what an earlier run had, then follows the distributors. */
  public void start() {
    synchronized (this) {
      viewAge.start(clock.getAsLong());
      restore();
    }
    subscriber.start();
    timer.scheduleWithFixedDelay(
        this::checkAge,
        AGE_CHECK_INTERVAL_MILLIS,
        AGE_CHECK_INTERVAL_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  private void restore() {
    LastKnownGood.Contents cached = lastKnownGood.read();
    if (cached != null) {
      view.restore(cached.version(), cached.records());
      cached.records().forEach(this::putInForce);
      log.println("begins with " + cached.records().size() + " records as last known");
    }
  }

  /**
   * Whether a name has a record, which is in force then. The first who asks for a name has it
   * followed; others who ask meanwhile wait for the same answer. Completed exceptionally where
   * nobody can tell in time, and with {@link LookupsFull} where too many names wait.
   */
  public synchronized CompletableFuture<Boolean> lookUp(String name) {
    if (inForce.containsKey(name)) {
      return CompletableFuture.completedFuture(true);
    }
    if (lookups.isAbsent(name, clock.getAsLong()) || view.follows(name)) {
      return CompletableFuture.completedFuture(false);
    }
    CompletableFuture<Boolean> pending = lookups.pending(name);
    if (pending == null) {
      try {
        pending = lookups.begin(name);
      } catch (LookupsFull e) {
        return CompletableFuture.failedFuture(e);
      }
      timer.execute(() -> subscriber.addNames(List.of(name)));
    }
    return pending.copy().orTimeout(LOOKUP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Follows a name no longer, and has it put out of force here. */
  public synchronized void unsubscribe(String name) {
    view.unfollow(name);
    timer.execute(() -> subscriber.removeName(name));
    if (inForce.remove(name) != null) {
      applier.remove(name);
      lastKnownGood.writeSoon();
    }
  }

  // From the subscription

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
      applier.onVersionReached(view.version());
    }
    return true;
  }

  @Override
  public synchronized long beginAdding(List<String> names) {
    return view.beginEdition();
  }

  @Override
  public synchronized boolean added(List<String> names, DistributionMessages.Added answer) {
    if (answer.version().isBefore(view.version())) {
      return false;
    }
    Map<String, RecordChange> recordByName = new HashMap<>();
    answer.records().forEach(record -> recordByName.put(record.name(), record));
    for (String name : names) {
      RecordChange record = recordByName.get(name);
      if (record == null) {
        lookups.recordAbsent(name, clock.getAsLong());
      } else {
        view.follow(name, record, answer.version());
        lookups.recordPresent(name);
        takeUp(view.record(name));
      }
      lookups.complete(name, inForce.containsKey(name));
    }
    return true;
  }

  @Override
  public synchronized void confirmed(long sentAtMicros, long statedAgeMicros) {
    viewAge.confirm(sentAtMicros, statedAgeMicros);
  }

  private void takeUp(RecordChange change) {
    if (change.isRemoval()) {
      inForce.remove(change.name());
      rejectionReasons.remove(change.name());
      applier.remove(change.name());
    } else {
      putInForce(change);
    }
    lastKnownGood.writeSoon();
  }

  private void putInForce(RecordChange change) {
    String rejectionReason = applier.apply(change);
    if (rejectionReason == null) {
      inForce.put(change.name(), change);
      rejectionReasons.remove(change.name());
    } else {
      rejectionReasons.put(change.name(), rejectionReason);
      reportRejected(change, rejectionReason);
    }
  }

  private void reportRejected(RecordChange change, String reason) {
    RecordRejected error = new RecordRejected(change.name(), change.version(), reason);
    log.println(error.code() + ": " + error.getMessage() + ". " + error.advice());
    DistributionMessages.Rejected rejected =
        new DistributionMessages.Rejected(change.name(), change.version(), reason);
    timer.execute(() -> subscriber.reportRejected(rejected));
  }

  private synchronized LastKnownGood.Contents contentsInForce() {
    return new LastKnownGood.Contents(view.version(), new ArrayList<>(inForce.values()));
  }

  private synchronized void checkAge() {
    viewAge.check(clock.getAsLong());
  }

  /**
   * What an administrator sees of it.
   *
   * @param ageMillis -1 where it was never current since the start
   * @param followedDistributor its address; null where none is followed
   * @param rejectionReasons by name, why its newest state is not in force
   * @param errorCode of what an operator should look at; null where nothing is
   * @param advice what an operator can do about it; null where there is no error
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

  /** How current this gateway is. */
  public Status status() {
    // Before this object's lock is taken: the subscriber has its own, and calls back under it.
    DistributorEndpoint followed = subscriber.following();
    return status(followed);
  }

  private synchronized Status status(DistributorEndpoint followed) {
    long nowMicros = clock.getAsLong();
    ViewTooOld error = viewAge.error(nowMicros);
    return new Status(
        view.version(),
        viewAge.ageMillis(nowMicros),
        followed == null ? null : followed.address(),
        view.names().size(),
        inForce.size(),
        Map.copyOf(rejectionReasons),
        error == null ? null : error.code(),
        error == null ? null : error.advice());
  }

  @Override
  public void close() {
    subscriber.close();
    lastKnownGood.writeNow();
  }
}

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
 * The records that a gateway subscribes to: keeps them current, applies them, and caches them in a
 * file if one is configured.
 *
 * <p>Invariants: records are applied in the order of their changes, and never an older state after
 * a newer one. A name is followed from its first lookup on. A record that is not valid leaves its
 * previous state in force.
 *
 * <p>Threads: thread-safe and non-blocking. The state is guarded by the lock of this object, under
 * which the {@link RecordApplier} is called. The subscriber has a lock of its own, under which it
 * calls back here; to avoid a deadlock, it is called only without this lock, mostly on the timer's
 * threads.
 */
public final class SubscribedRecords implements Subscriber.Listener, AutoCloseable {

  /** Applies records. Called in the order of changes, never concurrently. */
  public interface RecordApplier {

    /**
     * Applies a record. Returns null if it is now in force, otherwise the reason why it is not
     * valid; its previous state then stays in force.
     */
    String apply(RecordChange record);

    /** Removes a record from those in force. */
    void remove(String name);

    /**
     * Called when the view has reached a version: every change up to it has been applied or does
     * not concern this gateway.
     */
    void onVersionReached(Version version);
  }

  private static final long AGE_CHECK_INTERVAL_MILLIS = 1_000;
  private static final long NANOS_PER_MICRO = 1000;

  /** Time after which a lookup without a response from a distributor fails. */
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
  private final Map<String, RecordChange> recordsInForce = new HashMap<>();
  private final Map<String, String> rejectionReasons =
      new HashMap<>(); // why the newest state of a record is not in force

  /** Creates the records of a gateway; the clock is monotonic, in microseconds. */
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

  /**
   * Creates the HTTP client for calls to distributors; several subscribers of a process may share
   * it.
   */
  public static HttpClient httpClient(DistributionTimings timings) {
    return HttpClient.newBuilder()
        .version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(Duration.ofNanos(timings.connectTimeoutMicros() * NANOS_PER_MICRO))
        .build();
  }

  /** Applies the cached records of the previous run, then subscribes to a distributor. */
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
      cached.records().forEach(this::applyRecord);
      log.println(
          "starting with " + cached.records().size() + " cached records of the previous run");
    }
  }

  /**
   * Whether a record with this name exists; if so, it is in force when the future completes. The
   * first lookup of a name subscribes to it; concurrent lookups of the name share its result. The
   * future fails if no distributor responds within the lookup timeout, and with {@link LookupsFull}
   * if too many lookups are pending.
   */
  public synchronized CompletableFuture<Boolean> lookUp(String name) {
    if (recordsInForce.containsKey(name)) {
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

  /** Unsubscribes from a name and removes its record from those in force. */
  public synchronized void unsubscribe(String name) {
    view.unfollow(name);
    timer.execute(() -> subscriber.removeName(name));
    if (recordsInForce.remove(name) != null) {
      applier.remove(name);
      lastKnownGood.writeSoon();
    }
  }

  // Callbacks of the subscriber

  @Override
  public synchronized DistributionMessages.SubscribeRequest newSubscribeRequest() {
    return new DistributionMessages.SubscribeRequest(
        config.name(), false, view.edition(), List.copyOf(view.names()));
  }

  @Override
  public synchronized Version version() {
    return view.version();
  }

  @Override
  public synchronized boolean onPollResponse(DistributionMessages.PollResponse response) {
    Version before = view.version();
    view.apply(response.update(), response.edition()).forEach(this::applyChange);
    if (!view.version().equals(before)) {
      applier.onVersionReached(view.version());
    }
    return true;
  }

  @Override
  public synchronized long beginEdition(List<String> names) {
    return view.beginEdition();
  }

  @Override
  public synchronized boolean onRecordsReceived(
      List<String> names, DistributionMessages.ChangeNamesResponse response) {
    if (response.version().isBefore(view.version())) {
      return false;
    }
    Map<String, RecordChange> recordByName = new HashMap<>();
    response.records().forEach(record -> recordByName.put(record.name(), record));
    for (String name : names) {
      RecordChange record = recordByName.get(name);
      if (record == null) {
        lookups.recordAbsent(name, clock.getAsLong());
      } else {
        view.follow(name, record, response.version());
        lookups.recordPresent(name);
        applyChange(view.record(name));
      }
      lookups.complete(name, recordsInForce.containsKey(name));
    }
    return true;
  }

  @Override
  public synchronized void onConfirmed(long sentAtMicros, long statedAgeMicros) {
    viewAge.confirm(sentAtMicros, statedAgeMicros);
  }

  private void applyChange(RecordChange change) {
    if (change.isRemoval()) {
      recordsInForce.remove(change.name());
      rejectionReasons.remove(change.name());
      applier.remove(change.name());
    } else {
      applyRecord(change);
    }
    lastKnownGood.writeSoon();
  }

  private void applyRecord(RecordChange change) {
    String rejectionReason = applier.apply(change);
    if (rejectionReason == null) {
      recordsInForce.put(change.name(), change);
      rejectionReasons.remove(change.name());
    } else {
      rejectionReasons.put(change.name(), rejectionReason);
      reportRejected(change, rejectionReason);
    }
  }

  private void reportRejected(RecordChange change, String reason) {
    RecordRejected error = new RecordRejected(change.name(), change.version(), reason);
    log.println(error.code() + ": " + error.getMessage() + ". " + error.advice());
    DistributionMessages.RejectionReport report =
        new DistributionMessages.RejectionReport(change.name(), change.version(), reason);
    timer.execute(() -> subscriber.reportRejected(report));
  }

  private synchronized LastKnownGood.Contents contentsInForce() {
    return new LastKnownGood.Contents(view.version(), new ArrayList<>(recordsInForce.values()));
  }

  private synchronized void checkAge() {
    viewAge.check(clock.getAsLong());
  }

  /**
   * The state of the subscription, for the administration API.
   *
   * @param ageMillis the maximum age of the view; -1 if it has not been confirmed since the start
   * @param followedDistributor the address of the current distributor; null if there is none
   * @param rejectionReasons by name, why the newest state of the record is not in force
   * @param errorCode the code of the current error; null if there is none
   * @param advice what an operator can do about the error; null if there is none
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

  /** Returns the current state of the subscription. */
  public Status status() {
    // Called before this lock is taken: the subscriber calls back here under its own lock.
    DistributorEndpoint followed = subscriber.currentDistributor();
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
        recordsInForce.size(),
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

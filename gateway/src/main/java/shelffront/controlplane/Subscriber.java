package shelffront.controlplane;

import java.net.http.HttpClient;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import shelffront.controlplane.DistributionException.DistributionGarbled;
import shelffront.controlplane.DistributionException.DistributorRefused;
import shelffront.distribution.DistributionTimings;
import shelffront.distribution.DistributorEndpoint;
import shelffront.distribution.DistributorSelector;
import shelffront.distribution.Staleness;
import shelffront.distribution.Version;
import shelffront.net.EventLog;

/**
 * Follows one distributor at a time by long polls. Switches to another distributor if the current
 * one fails, does not respond, is behind this subscriber, or has a stale view.
 *
 * <p>Invariants: responses of a distributor that is no longer followed are ignored. At most one
 * poll and one call that adds names are in flight at a time.
 *
 * <p>Threads: thread-safe and non-blocking, without a thread of its own. Responses are handled on
 * the threads of the timer, under the lock of this object; the {@link Listener} is called under
 * that lock.
 */
final class Subscriber implements AutoCloseable {

  /** Maximum factor of the response grace, reached after consecutive failed polls. */
  private static final int MAX_GRACE_FACTOR = 32;

  /** Maximum number of names in one call; waiting names are sent together. */
  private static final int MAX_NAMES_PER_CALL = 1000;

  /** Delay before names are requested again from a distributor that is behind this subscriber. */
  private static final long RETRY_ADD_MILLIS = 50;

  /** Receives updates. Called under the subscriber's lock, hence never concurrently. */
  interface Listener {

    /** The request for a new subscription, with the current names and their edition. */
    DistributionMessages.SubscribeRequest newSubscribeRequest();

    Version version();

    /**
     * Applies the response to a poll; false if the update does not continue from the current
     * version, so that another distributor has to be selected.
     */
    boolean onPollResponse(DistributionMessages.PollResponse response);

    /** Starts a new edition that includes these names, and returns it. */
    long beginEdition(List<String> names);

    /**
     * Applies the records of names that were added; names without a record are absent from the
     * response. False if the distributor is behind, so that the names have to be requested again.
     */
    boolean onRecordsReceived(
        List<String> names, DistributionMessages.ChangeNamesResponse response);

    /**
     * Records that the view was current as of a request sent at this time, minus the age that the
     * distributor stated.
     */
    void onConfirmed(long sentAtMicros, long statedAgeMicros);
  }

  /**
   * The settings of a subscriber.
   *
   * @param name the name of the subscriber, used in log lines
   * @param staleAfterMicros age of a distributor's view above which another distributor is selected
   */
  record Settings(String name, DistributionTimings timings, long staleAfterMicros) {}

  private final Settings settings;
  private final DistributionTimings timings;
  private final Listener listener;
  private final HttpClient http;
  private final DistributorSelector selector;
  private final ScheduledExecutorService timer;
  private final LongSupplier clock;
  private final EventLog log;
  private final Set<String> namesToAdd = new LinkedHashSet<>();
  private final List<String> namesToRemove = new ArrayList<>(); // sent with the next names to add
  private DistributorClient client; // null while there is no subscription
  private String subscription;

  /** Identifies the current subscription; callbacks of earlier ones are ignored. */
  private long generation;

  private boolean addingNames;
  private long followingSinceMicros;

  /**
   * Factor of the response grace. It grows after failed polls because a large snapshot on a slow
   * link may take longer than the usual grace.
   */
  private int graceFactor = 1;

  private boolean closed;

  /**
   * Creates a subscriber, which is idle until {@link #start}; the clock is monotonic, in
   * microseconds.
   */
  Subscriber(
      Settings settings,
      Listener listener,
      HttpClient http,
      DistributorSelector selector,
      ScheduledExecutorService timer,
      LongSupplier clock,
      EventLog log) {
    this.settings = settings;
    this.timings = settings.timings();
    this.listener = listener;
    this.http = http;
    this.selector = selector;
    this.timer = timer;
    this.clock = clock;
    this.log = log;
  }

  synchronized void start() {
    selectNext();
  }

  /** Requests names from the current distributor, or from the next one if there is none. */
  synchronized void addNames(List<String> names) {
    namesToAdd.addAll(names);
    sendNames();
  }

  /**
   * Removes a name from the subscription; the distributor receives the removal with the next names
   * that are added.
   */
  synchronized void removeName(String name) {
    namesToAdd.remove(name);
    namesToRemove.add(name);
  }

  /** Reports to the current distributor, if there is one, that a record is not valid here. */
  synchronized void reportRejected(DistributionMessages.RejectionReport report) {
    if (client != null) {
      client.reject(subscription, report, timings.connectTimeoutMicros());
    }
  }

  /** The current distributor; null if there is none. */
  synchronized DistributorEndpoint currentDistributor() {
    return client == null ? null : client.endpoint();
  }

  @Override
  public synchronized void close() {
    closed = true;
    generation++;
  }

  // Selection of the distributor

  private void selectNext() {
    client = null;
    addingNames = false;
    long nowMicros = clock.getAsLong();
    DistributorSelector.Selection selection = selector.next(nowMicros);
    long thisGeneration = ++generation;
    timer.schedule(
        () -> subscribeIfCurrent(thisGeneration, selection.endpoint()),
        Math.max(0, selection.atMicros() - nowMicros),
        TimeUnit.MICROSECONDS);
  }

  private synchronized void subscribeIfCurrent(long thisGeneration, DistributorEndpoint endpoint) {
    if (isCurrent(thisGeneration)) {
      subscribe(endpoint);
    }
  }

  private boolean isCurrent(long callerGeneration) {
    return callerGeneration == generation && !closed;
  }

  private void subscribe(DistributorEndpoint endpoint) {
    long thisGeneration = ++generation;
    client = null;
    addingNames = false;
    DistributorClient newClient = new DistributorClient(http, endpoint);
    newClient
        .subscribe(listener.newSubscribeRequest(), timings.connectTimeoutMicros())
        .whenCompleteAsync(
            (response, failure) ->
                handle(() -> onSubscribed(thisGeneration, newClient, response, failure)),
            timer);
  }

  private void onSubscribed(
      long thisGeneration,
      DistributorClient newClient,
      DistributionMessages.SubscribeResponse response,
      Throwable failure) {
    if (!isCurrent(thisGeneration)) {
      return;
    }
    if (failure != null) {
      failOver(newClient.endpoint(), failure);
      return;
    }
    client = newClient;
    subscription = response.subscription();
    followingSinceMicros = clock.getAsLong();
    sendNames();
    poll();
  }

  /**
   * Handles a response under the lock. An unexpected exception is logged and leads to a new
   * subscription; otherwise this subscriber would stop silently.
   */
  private synchronized void handle(Runnable handling) {
    try {
      handling.run();
    } catch (RuntimeException e) {
      log.println("subscriber " + settings.name() + " failed to handle a response: " + e);
      if (!closed) {
        selectNext();
      }
    }
  }

  private void failOver(DistributorEndpoint endpoint, Throwable failure) {
    Throwable cause = failure.getCause() == null ? failure : failure.getCause();
    log.println(
        "subscriber "
            + settings.name()
            + " leaves distributor "
            + endpoint.address()
            + ": "
            + cause.getMessage());
    selector.recordFailure(endpoint, clock.getAsLong());
    selectNext();
  }

  // Polls

  private void poll() {
    long thisGeneration = generation;
    long sentAtMicros = clock.getAsLong();
    DistributorClient pollClient = client;
    long graceMicros = graceFactor * timings.responseGraceMicros();
    pollClient
        .poll(
            subscription,
            listener.version(),
            timings.pollWaitMicros(),
            timings.pollWaitMicros() + graceMicros)
        .whenCompleteAsync(
            (response, failure) ->
                handle(
                    () ->
                        onPolled(
                            thisGeneration,
                            pollClient.endpoint(),
                            sentAtMicros,
                            response,
                            failure)),
            timer);
  }

  private void onPolled(
      long thisGeneration,
      DistributorEndpoint endpoint,
      long sentAtMicros,
      DistributionMessages.PollResponse response,
      Throwable failure) {
    if (!isCurrent(thisGeneration)) {
      return;
    }
    if (failure != null) {
      onPollFailed(endpoint, failure);
      return;
    }
    if (!listener.onPollResponse(response)) {
      failOver(
          endpoint,
          new DistributionGarbled(
              "the update to "
                  + response.update().version()
                  + " does not continue from "
                  + listener.version(),
              null));
      return;
    }
    graceFactor = 1;
    listener.onConfirmed(sentAtMicros, response.ageMicros());
    if (shouldKeep(endpoint, response.ageMicros())) {
      poll();
    } else {
      selectNext();
    }
  }

  private void onPollFailed(DistributorEndpoint endpoint, Throwable failure) {
    graceFactor = Math.min(MAX_GRACE_FACTOR, 2 * graceFactor);
    if (failure.getCause() instanceof DistributorRefused refused
        && refused.status() == HttpStatus.UNKNOWN_SUBSCRIPTION) {
      subscribe(endpoint);
    } else {
      failOver(endpoint, failure);
    }
  }

  /** Whether to keep following a distributor whose view has this age. */
  private boolean shouldKeep(DistributorEndpoint endpoint, long viewAgeMicros) {
    long nowMicros = clock.getAsLong();
    long followedMicros = nowMicros - followingSinceMicros;
    if (isStale(viewAgeMicros)) {
      // If all distributors are stale, switching would never end. Each one is therefore followed
      // for as long as its own upstream may need to recover.
      if (followedMicros <= timings.failedHopMicros()) {
        return true;
      }
      log.println(
          "subscriber "
              + settings.name()
              + " leaves distributor "
              + endpoint.address()
              + ": its view is older than "
              + TimeUnit.MICROSECONDS.toMillis(settings.staleAfterMicros())
              + " ms or was never confirmed");
      selector.recordFailure(endpoint, nowMicros);
      return false;
    }
    selector.recordSuccess(endpoint);
    return !selector.hasPreferredAlternative(endpoint, nowMicros)
        || followedMicros <= DistributorSelector.MAX_BACKOFF_MICROS;
  }

  private boolean isStale(long viewAgeMicros) {
    return viewAgeMicros == Staleness.NEVER || viewAgeMicros > settings.staleAfterMicros();
  }

  // Names

  private void sendNames() {
    if (client == null || addingNames || namesToAdd.isEmpty()) {
      return;
    }
    addingNames = true;
    long thisGeneration = generation;
    long sentAtMicros = clock.getAsLong();
    List<String> names = namesToAdd.stream().limit(MAX_NAMES_PER_CALL).toList();
    DistributionMessages.ChangeNamesRequest change =
        new DistributionMessages.ChangeNamesRequest(
            listener.beginEdition(names), names, List.copyOf(namesToRemove));
    namesToRemove.clear();
    client
        .changeNames(subscription, change, timings.connectTimeoutMicros())
        .whenCompleteAsync(
            (response, failure) ->
                handle(() -> onNamesAdded(thisGeneration, sentAtMicros, names, response, failure)),
            timer);
  }

  private void onNamesAdded(
      long thisGeneration,
      long sentAtMicros,
      List<String> names,
      DistributionMessages.ChangeNamesResponse response,
      Throwable failure) {
    if (!isCurrent(thisGeneration)) {
      return; // the names are requested from the current distributor instead
    }
    addingNames = false;
    if (failure != null) {
      failOver(client.endpoint(), failure);
      return;
    }
    if (listener.onRecordsReceived(names, response)) {
      listener.onConfirmed(sentAtMicros, response.ageMicros());
      names.forEach(namesToAdd::remove);
      sendNames();
    } else {
      timer.schedule(this::sendNamesAgain, RETRY_ADD_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private synchronized void sendNamesAgain() {
    sendNames();
  }
}

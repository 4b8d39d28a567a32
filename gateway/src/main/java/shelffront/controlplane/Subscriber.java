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
 * Follows one distributor at a time by long polls, and another when that one breaks, is silent, is
 * behind or has an old view.
 *
 * <p>Invariants: answers of a distributor that is followed no longer change nothing; a poll and a
 * call that adds names are out at a time, one of each at most.
 *
 * <p>Threads: no call blocks and there is no thread of its own; all runs on the timer's, under this
 * object's lock. The {@link Owner} is called under that lock.
 */
final class Subscriber implements AutoCloseable {

  /** Times the usual grace, after polls that failed one after another. */
  private static final int MAX_GRACE_FACTOR = 32;

  /** Names that wait are asked for together, so many at a time. */
  private static final int MAX_NAMES_PER_CALL = 1000;

  /** After a distributor that was behind what this subscriber has seen. */
  private static final long RETRY_ADD_MILLIS = 50;

  /** Whose subscription this is. Called on the timer's threads, never twice at once. */
  interface Owner {

    /** Where it stands, with the names and their edition; a new subscription begins from there. */
    DistributionMessages.Subscribe subscribing();

    Version version();

    /** What a poll brought; false where it does not fit, and polling from here makes no sense. */
    boolean polled(DistributionMessages.Polled answer);

    /** The edition under which names are asked for from now on. */
    long beginAdding(List<String> names);

    /**
     * The records of names; those that are not among them have none. False: to be asked for again.
     */
    boolean added(List<String> names, DistributionMessages.Added answer);

    /** Everything that it has is current as of a question sent at this time, up to an age. */
    void confirmed(long sentAtMicros, long statedAgeMicros);
  }

  /**
   * What does not change while it runs.
   *
   * @param name of the subscriber, in log lines
   * @param staleAfterMicros a distributor whose view is older than this is left for another
   */
  record Settings(String name, DistributionTimings timings, long staleAfterMicros) {}

  private final Settings settings;
  private final DistributionTimings timings;
  private final Owner owner;
  private final HttpClient http;
  private final DistributorSelector selector;
  private final ScheduledExecutorService timer;
  private final LongSupplier clock;
  private final EventLog log;
  private final Set<String> namesToAdd = new LinkedHashSet<>();
  private final List<String> namesToRemove = new ArrayList<>(); // sent with the next names to add
  private DistributorClient client; // null while none is followed
  private String subscription;
  private long attempt; // of following somebody; what belongs to an earlier one counts no more
  private boolean addingNames;
  private long followingSinceMicros;

  /**
   * Times the usual grace: a large snapshot on a slow link takes longer than a silence that is
   * taken for a break.
   */
  private int graceFactor = 1;

  private boolean closed;

  /** The clock is monotonic, in microseconds. */
  Subscriber(
      Settings settings,
      Owner owner,
      HttpClient http,
      DistributorSelector selector,
      ScheduledExecutorService timer,
      LongSupplier clock,
      EventLog log) {
    this.settings = settings;
    this.timings = settings.timings();
    this.owner = owner;
    this.http = http;
    this.selector = selector;
    this.timer = timer;
    this.clock = clock;
    this.log = log;
  }

  synchronized void start() {
    followNext();
  }

  /** Asks for names as soon as there is somebody to ask. */
  synchronized void addNames(List<String> names) {
    namesToAdd.addAll(names);
    sendNames();
  }

  /**
   * A name is followed no longer; the distributor hears of it with the next names that are added.
   */
  synchronized void removeName(String name) {
    namesToAdd.remove(name);
    namesToRemove.add(name);
  }

  /** Tells the distributor that a record can't be put in force here. */
  synchronized void reportRejected(DistributionMessages.Rejected rejected) {
    if (client != null) {
      client.reject(subscription, rejected, timings.connectTimeoutMicros());
    }
  }

  /** The distributor that is followed; null where there is none. */
  synchronized DistributorEndpoint following() {
    return client == null ? null : client.endpoint();
  }

  @Override
  public synchronized void close() {
    closed = true;
    attempt++;
  }

  // Which distributor is followed

  private void followNext() {
    client = null;
    addingNames = false;
    long nowMicros = clock.getAsLong();
    DistributorSelector.Selection selection = selector.next(nowMicros);
    long thisAttempt = ++attempt;
    timer.schedule(
        () -> subscribeIfCurrent(thisAttempt, selection.endpoint()),
        Math.max(0, selection.atMicros() - nowMicros),
        TimeUnit.MICROSECONDS);
  }

  private synchronized void subscribeIfCurrent(long thisAttempt, DistributorEndpoint endpoint) {
    if (isCurrent(thisAttempt)) {
      subscribe(endpoint);
    }
  }

  private boolean isCurrent(long thatAttempt) {
    return thatAttempt == attempt && !closed;
  }

  private void subscribe(DistributorEndpoint endpoint) {
    long thisAttempt = ++attempt;
    client = null;
    addingNames = false;
    DistributorClient newClient = new DistributorClient(http, endpoint);
    newClient
        .subscribe(owner.subscribing(), timings.connectTimeoutMicros())
        .whenCompleteAsync(
            (answer, failure) ->
                handle(() -> onSubscribed(thisAttempt, newClient, answer, failure)),
            timer);
  }

  private void onSubscribed(
      long thisAttempt,
      DistributorClient newClient,
      DistributionMessages.Subscribed answer,
      Throwable failure) {
    if (!isCurrent(thisAttempt)) {
      return;
    }
    if (failure != null) {
      leave(newClient.endpoint(), failure);
      return;
    }
    client = newClient;
    subscription = answer.subscription();
    followingSinceMicros = clock.getAsLong();
    sendNames();
    poll();
  }

  /** A fault in one answer's handling must not end the following for good, unseen. */
  private synchronized void handle(Runnable handling) {
    try {
      handling.run();
    } catch (RuntimeException e) {
      log.println(settings.name() + " fault " + e);
      if (!closed) {
        followNext();
      }
    }
  }

  private void leave(DistributorEndpoint endpoint, Throwable failure) {
    Throwable cause = failure.getCause() == null ? failure : failure.getCause();
    log.println(
        settings.name() + " leaves distributor " + endpoint.address() + ": " + cause.getMessage());
    selector.recordFailure(endpoint, clock.getAsLong());
    followNext();
  }

  // Polls

  private void poll() {
    long thisAttempt = attempt;
    long sentAtMicros = clock.getAsLong();
    DistributorClient polledClient = client;
    long graceMicros = graceFactor * timings.responseGraceMicros();
    polledClient
        .poll(
            subscription,
            owner.version(),
            timings.pollWaitMicros(),
            timings.pollWaitMicros() + graceMicros)
        .whenCompleteAsync(
            (answer, failure) ->
                handle(
                    () ->
                        onPolled(
                            thisAttempt, polledClient.endpoint(), sentAtMicros, answer, failure)),
            timer);
  }

  private void onPolled(
      long thisAttempt,
      DistributorEndpoint endpoint,
      long sentAtMicros,
      DistributionMessages.Polled answer,
      Throwable failure) {
    if (!isCurrent(thisAttempt)) {
      return;
    }
    if (failure != null) {
      onPollFailed(endpoint, failure);
      return;
    }
    if (!owner.polled(answer)) {
      leave(endpoint, new DistributionGarbled("an answer that does not follow what is here", null));
      return;
    }
    graceFactor = 1;
    owner.confirmed(sentAtMicros, answer.ageMicros());
    if (staysWith(endpoint, answer.ageMicros())) {
      poll();
    } else {
      followNext();
    }
  }

  private void onPollFailed(DistributorEndpoint endpoint, Throwable failure) {
    graceFactor = Math.min(MAX_GRACE_FACTOR, 2 * graceFactor);
    if (failure.getCause() instanceof DistributorRefused refused
        && refused.status() == HttpStatus.UNKNOWN_SUBSCRIPTION) {
      subscribe(endpoint);
    } else {
      leave(endpoint, failure);
    }
  }

  /** Whether it goes on with a distributor whose view has this age; else another is selected. */
  private boolean staysWith(DistributorEndpoint endpoint, long viewAgeMicros) {
    long nowMicros = clock.getAsLong();
    long followedMicros = nowMicros - followingSinceMicros;
    if (isStale(viewAgeMicros)) {
      // Where all are stale it would go round and round: one is given the time in which its own
      // upstream recovers.
      if (followedMicros <= timings.failedHopMicros()) {
        return true;
      }
      log.println(
          settings.name() + " leaves distributor " + endpoint.address() + ", whose view is old");
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
    long thisAttempt = attempt;
    long sentAtMicros = clock.getAsLong();
    List<String> names = namesToAdd.stream().limit(MAX_NAMES_PER_CALL).toList();
    DistributionMessages.ChangeNames change =
        new DistributionMessages.ChangeNames(
            owner.beginAdding(names), names, List.copyOf(namesToRemove));
    namesToRemove.clear();
    client
        .changeNames(subscription, change, timings.connectTimeoutMicros())
        .whenCompleteAsync(
            (answer, failure) ->
                handle(() -> onNamesAdded(thisAttempt, sentAtMicros, names, answer, failure)),
            timer);
  }

  private void onNamesAdded(
      long thisAttempt,
      long sentAtMicros,
      List<String> names,
      DistributionMessages.Added answer,
      Throwable failure) {
    if (!isCurrent(thisAttempt)) {
      return; // whoever is followed now is asked again
    }
    addingNames = false;
    if (failure != null) {
      leave(client.endpoint(), failure);
      return;
    }
    if (owner.added(names, answer)) {
      owner.confirmed(sentAtMicros, answer.ageMicros());
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

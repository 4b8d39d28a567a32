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
 * Follows one distributor at a time, and another when that one breaks, is silent, is behind or has
 * an old view. Asks with long polls; no call blocks and there is no thread of its own: all runs on
 * the timer's.
 */
final class Subscriber implements AutoCloseable {

  private static final int UNKNOWN_SUBSCRIPTION = 404;

  /** Times the usual grace, after polls that failed one after another. */
  private static final int GREATEST_PATIENCE = 32;

  /** Names that wait are asked for together, so many at a time. */
  private static final int MOST_NAMES_IN_CALL = 1000;

  /** After a distributor that was behind what this subscriber has seen. */
  private static final long ADD_AGAIN_MILLIS = 50;

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
    void confirmed(long sentAt, long statedAge);
  }

  private final String name;
  private final Owner owner;
  private final HttpClient http;
  private final DistributorSelector choice;
  private final DistributionTimings timings;
  private final long staleAfter;
  private final ScheduledExecutorService timer;
  private final LongSupplier clock;
  private final EventLog log;
  private final Set<String> wanted = new LinkedHashSet<>(); // names to be asked for
  private final List<String> forgotten =
      new ArrayList<>(); // told with the next names that are asked for
  private DistributorClient client; // null while none is followed
  private String subscription;
  private long attempt; // of following somebody; what belongs to an earlier one counts no more
  private boolean adding;
  private long switchedAt;

  /**
   * Times the usual grace: a large snapshot on a slow way takes longer than a silence that is taken
   * for a break.
   */
  private int patience = 1;

  private boolean closed;

  /**
   * @param staleAfter a distributor whose view is older than this is left for another
   */
  Subscriber(
      String name,
      Owner owner,
      HttpClient http,
      DistributorSelector choice,
      DistributionTimings timings,
      long staleAfter,
      ScheduledExecutorService timer,
      LongSupplier clock,
      EventLog log) {
    this.name = name;
    this.owner = owner;
    this.http = http;
    this.choice = choice;
    this.timings = timings;
    this.staleAfter = staleAfter;
    this.timer = timer;
    this.clock = clock;
    this.log = log;
  }

  synchronized void start() {
    follow();
  }

  /** Asks for names as soon as there is somebody to ask. */
  synchronized void want(List<String> names) {
    wanted.addAll(names);
    addNames();
  }

  /** A name is followed no longer; the distributor is told when there is something else to tell. */
  synchronized void forget(String forgottenName) {
    wanted.remove(forgottenName);
    forgotten.add(forgottenName);
  }

  /** Tells the distributor that a record can't be put in force here. */
  synchronized void reject(DistributionMessages.Rejected rejected) {
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

  private void follow() {
    client = null;
    adding = false;
    long now = clock.getAsLong();
    DistributorSelector.Selection next = choice.next(now);
    long mine = ++attempt;
    timer.schedule(
        () -> {
          synchronized (this) {
            if (mine == attempt && !closed) {
              subscribe(next.endpoint());
            }
          }
        },
        Math.max(0, next.atMicros() - now),
        TimeUnit.MICROSECONDS);
  }

  private void subscribe(DistributorEndpoint endpoint) {
    long mine = ++attempt;
    client = null;
    adding = false;
    DistributorClient asked = new DistributorClient(http, endpoint);
    asked
        .subscribe(owner.subscribing(), timings.connectTimeoutMicros())
        .whenCompleteAsync(
            (answer, failure) -> guarded(() -> subscribed(mine, asked, answer, failure)), timer);
  }

  private void subscribed(
      long mine,
      DistributorClient asked,
      DistributionMessages.Subscribed answer,
      Throwable failure) {
    if (mine != attempt || closed) {
      return;
    }
    if (failure != null) {
      leave(asked.endpoint(), failure);
      return;
    }
    client = asked;
    subscription = answer.subscription();
    switchedAt = clock.getAsLong();
    addNames();
    poll();
  }

  /** Guards against a fault in one answer's handling ending the following for good, unseen. */
  private synchronized void guarded(Runnable handling) {
    try {
      handling.run();
    } catch (RuntimeException e) {
      log.println(name + " fault " + e);
      if (!closed) {
        follow();
      }
    }
  }

  private void leave(DistributorEndpoint endpoint, Throwable failure) {
    Throwable cause = failure.getCause() == null ? failure : failure.getCause();
    log.println(name + " leaves distributor " + endpoint.address() + ": " + cause.getMessage());
    choice.recordFailure(endpoint, clock.getAsLong());
    follow();
  }

  // ---- Polls
  // --------------------------------------------------------------------------------

  private void poll() {
    long mine = attempt;
    long sentAt = clock.getAsLong();
    DistributorClient asked = client;
    asked
        .poll(
            subscription,
            owner.version(),
            timings.pollWaitMicros(),
            timings.pollWaitMicros() + patience * timings.responseGraceMicros())
        .whenCompleteAsync(
            (answer, failure) -> guarded(() -> polled(mine, asked, sentAt, answer, failure)),
            timer);
  }

  private void polled(
      long mine,
      DistributorClient asked,
      long sentAt,
      DistributionMessages.Polled answer,
      Throwable failure) {
    if (mine != attempt || closed) {
      return;
    }
    if (failure != null) {
      patience = Math.min(GREATEST_PATIENCE, 2 * patience);
      if (failure.getCause() instanceof DistributorRefused e
          && e.status() == UNKNOWN_SUBSCRIPTION) {
        subscribe(asked.endpoint());
      } else {
        leave(asked.endpoint(), failure);
      }
      return;
    }
    if (!owner.polled(answer)) {
      leave(
          asked.endpoint(),
          new DistributionGarbled("an answer that does not follow what is here", null));
      return;
    }
    patience = 1;
    owner.confirmed(sentAt, answer.age());
    long now = clock.getAsLong();
    boolean stale = answer.age() == Staleness.NEVER || answer.age() > staleAfter;
    // Where all are stale it would go round and round: one is given the time in which its own
    // upstream recovers.
    if (stale && now - switchedAt > timings.failedHopMicros()) {
      log.println(
          name + " leaves distributor " + asked.endpoint().address() + ", whose view is old");
      choice.recordFailure(asked.endpoint(), now);
      follow();
      return;
    }
    if (!stale) {
      choice.recordSuccess(asked.endpoint());
      if (choice.hasPreferredAlternative(asked.endpoint(), now)
          && now - switchedAt > DistributorSelector.MAX_BACKOFF_MICROS) {
        follow();
        return;
      }
    }
    poll();
  }

  // ---- Names
  // --------------------------------------------------------------------------------

  private void addNames() {
    if (client == null || adding || wanted.isEmpty()) {
      return;
    }
    adding = true;
    long mine = attempt;
    long sentAt = clock.getAsLong();
    List<String> names = wanted.stream().limit(MOST_NAMES_IN_CALL).toList();
    DistributionMessages.ChangeNames change =
        new DistributionMessages.ChangeNames(
            owner.beginAdding(names), names, List.copyOf(forgotten));
    forgotten.clear();
    client
        .changeNames(subscription, change, timings.connectTimeoutMicros())
        .whenCompleteAsync(
            (answer, failure) -> guarded(() -> added(mine, sentAt, names, answer, failure)), timer);
  }

  private void added(
      long mine,
      long sentAt,
      List<String> names,
      DistributionMessages.Added answer,
      Throwable failure) {
    if (mine != attempt || closed) {
      return; // asked for again by whoever is followed now
    }
    adding = false;
    if (failure != null) {
      leave(client.endpoint(), failure);
      return;
    }
    if (owner.added(names, answer)) {
      owner.confirmed(sentAt, answer.age());
      names.forEach(wanted::remove);
      addNames();
    } else {
      timer.schedule(this::addNamesAgain, ADD_AGAIN_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private synchronized void addNamesAgain() {
    addNames();
  }
}

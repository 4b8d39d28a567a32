package shelffront.controlplane;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import shelffront.controlplane.DistributionMessages.ChangeNamesRequest;
import shelffront.controlplane.DistributionMessages.ChangeNamesResponse;
import shelffront.controlplane.DistributionMessages.PollResponse;
import shelffront.controlplane.DistributionMessages.SubscribeRequest;
import shelffront.controlplane.DistributionMessages.SubscribeResponse;
import shelffront.controlplane.Subscription.Poll;
import shelffront.controlplane.Subscription.Responder;
import shelffront.distribution.RecordChange;
import shelffront.distribution.RecordTable;
import shelffront.distribution.Staleness;
import shelffront.distribution.SubscriptionFilter;
import shelffront.distribution.Update;
import shelffront.distribution.Version;

/**
 * Serves subscribers from one table of records.
 *
 * <p>Invariants: a subscriber occupies memory only for its names and for at most one waiting poll.
 * The update that it is missing is computed from its version for each poll, from the bounded log or
 * as a snapshot, so a slow subscriber delays no other one.
 *
 * <p>Threads: thread-safe. The table has a lock, and each subscription is guarded by the lock of
 * its shard; no lock is held while a response body is encoded or written.
 */
final class Distributor {

  static final int MAX_SUBSCRIPTIONS = 4096;
  static final int MAX_NAMES = 20_000;
  private static final int MAX_LOG_CHANGES = 10_000;
  private static final long MAX_LOG_CHARACTERS = 32L << 20;
  private static final long MAX_WAIT_MICROS = 10_000_000;

  /** Time without a call after which a subscription expires. */
  private static final long SUBSCRIPTION_EXPIRY_MICROS = 30_000_000;

  private static final long SWEEP_INTERVAL_MILLIS = 5_000;
  private static final byte[] EMPTY_BODY = {};

  private final RecordTable table = new RecordTable(MAX_LOG_CHANGES, MAX_LOG_CHARACTERS);
  private final Staleness staleness = new Staleness();
  private final SubscriptionTable subscriptions = new SubscriptionTable();
  private final ScheduledExecutorService timer;
  private final Executor responseExecutor;
  private final LongSupplier clock;
  private volatile boolean ready; // set by the first snapshot from upstream

  /** Creates a distributor with an empty table; the clock is monotonic, in microseconds. */
  Distributor(ScheduledExecutorService timer, Executor responseExecutor, LongSupplier clock) {
    this.timer = timer;
    this.responseExecutor = responseExecutor;
    this.clock = clock;
    timer.scheduleWithFixedDelay(
        this::removeExpired, SWEEP_INTERVAL_MILLIS, SWEEP_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  Version version() {
    synchronized (table) {
      return table.version();
    }
  }

  long ageMicros() {
    synchronized (table) {
      return staleness.maxAgeMicros(clock.getAsLong());
    }
  }

  int recordCount() {
    synchronized (table) {
      return table.size();
    }
  }

  int subscriptionCount() {
    return subscriptions.size();
  }

  // Updates from upstream

  /**
   * Records that the table was current as of a request sent to an upstream whose own view had the
   * stated age.
   */
  void confirm(long sentAtMicros, long statedAgeMicros) {
    synchronized (table) {
      staleness.confirm(sentAtMicros, statedAgeMicros);
    }
  }

  /**
   * Applies an update from upstream; false if it does not continue from the version of the table,
   * so that a snapshot is needed.
   */
  boolean apply(Update update) {
    if (update instanceof Update.Snapshot snapshot) {
      install(snapshot);
      return true;
    }
    return applyChanges((Update.Changes) update);
  }

  private void install(Update.Snapshot snapshot) {
    boolean isNewer;
    synchronized (table) {
      isNewer = table.version().isBefore(snapshot.version()) && table.install(snapshot);
    }
    ready = true;
    if (isNewer) {
      subscriptions.forEach(this::completeWaitingPoll);
    }
  }

  private boolean applyChanges(Update.Changes update) {
    Set<String> changedNames = new HashSet<>();
    boolean isComplete = true;
    synchronized (table) {
      for (RecordChange change : update.changes()) {
        isComplete &= table.apply(change) != RecordTable.ApplyResult.GAP;
        changedNames.add(change.name());
      }
      isComplete &= !table.version().isBefore(update.version());
    }
    if (!changedNames.isEmpty()) {
      subscriptions.forEachFollowing(changedNames, this::completeWaitingPoll);
    }
    return isComplete;
  }

  /** Completes the waiting poll, if there is one. Called under the subscription's lock. */
  private void completeWaitingPoll(Subscription subscription) {
    Poll poll = subscription.takeWaitingPoll();
    if (poll != null) {
      poll.cancelTimeout();
      responseExecutor.execute(() -> respond(subscription, poll));
    }
  }

  // Calls of subscribers

  void subscribe(SubscribeRequest request, Responder responder) {
    if (!ready || subscriptions.size() >= MAX_SUBSCRIPTIONS) {
      responder.respond(HttpStatus.NOT_READY, EMPTY_BODY);
      return;
    }
    if (request.names().size() > MAX_NAMES) {
      responder.respond(HttpStatus.TOO_LARGE, EMPTY_BODY);
      return;
    }
    String id = UUID.randomUUID().toString();
    subscriptions.add(new Subscription(id, request, clock.getAsLong()));
    responder.respond(HttpStatus.CREATED, new SubscribeResponse(id).toJson());
  }

  /**
   * Adds names and responds with their records; from then on, responses for this edition include
   * the changes of these names.
   */
  void changeNames(String id, ChangeNamesRequest change, Responder responder) {
    Subscription subscription = subscriptions.findAndMarkUsed(id, clock.getAsLong());
    if (subscription == null) {
      responder.respond(HttpStatus.UNKNOWN_SUBSCRIPTION, EMPTY_BODY);
      return;
    }
    synchronized (subscriptions.lockOf(id)) {
      if (subscription.size() + change.add().size() > MAX_NAMES) {
        responder.respond(HttpStatus.TOO_LARGE, EMPTY_BODY);
        return;
      }
      subscription.changeNames(change);
    }
    // Reads the records after the names were added to the filter, so that a concurrent change is
    // contained in this response, in the response to a later poll, or in both.
    ChangeNamesResponse added = readRecords(change.add());
    Set<String> absentNames = new HashSet<>(change.add());
    added.records().forEach(record -> absentNames.remove(record.name()));
    synchronized (subscriptions.lockOf(id)) {
      subscription.removeNames(absentNames);
    }
    responder.respond(HttpStatus.OK, added.toJson());
  }

  private ChangeNamesResponse readRecords(List<String> names) {
    synchronized (table) {
      List<RecordChange> records = new ArrayList<>();
      names.stream().map(table::record).filter(Objects::nonNull).forEach(records::add);
      return new ChangeNamesResponse(
          table.version(), staleness.maxAgeMicros(clock.getAsLong()), records);
    }
  }

  /**
   * Responds at once if the subscriber is missing an update, otherwise on the next change that
   * concerns it or when the wait is over.
   */
  void poll(String id, Version after, long waitMicros, Responder responder) {
    Subscription subscription = subscriptions.findAndMarkUsed(id, clock.getAsLong());
    if (subscription == null) {
      responder.respond(HttpStatus.UNKNOWN_SUBSCRIPTION, EMPTY_BODY);
      return;
    }
    Poll poll = new Poll(after, responder);
    Version seen = version();
    if (hasPendingUpdate(subscription, after)) {
      respond(subscription, poll);
      return;
    }
    park(subscription, poll, Math.min(waitMicros, MAX_WAIT_MICROS));
    // A change between the first check and park() found no waiting poll to complete.
    if (!version().equals(seen) && hasPendingUpdate(subscription, after)) {
      synchronized (subscriptions.lockOf(id)) {
        completeWaitingPoll(subscription);
      }
    }
  }

  private void park(Subscription subscription, Poll poll, long waitMicros) {
    synchronized (subscriptions.lockOf(subscription.id())) {
      poll.setTimeout(
          timer.schedule(() -> expire(subscription, poll), waitMicros, TimeUnit.MICROSECONDS));
      Poll replaced = subscription.replaceWaitingPoll(poll);
      if (replaced != null) {
        replaced.cancelTimeout();
        responseExecutor.execute(() -> respond(subscription, replaced));
      }
    }
  }

  private void expire(Subscription subscription, Poll poll) {
    boolean isWaiting;
    synchronized (subscriptions.lockOf(subscription.id())) {
      isWaiting = subscription.removeWaitingPoll(poll);
    }
    if (isWaiting) {
      responseExecutor.execute(() -> respond(subscription, poll));
    }
  }

  private boolean hasPendingUpdate(Subscription subscription, Version after) {
    SubscriptionFilter filter;
    synchronized (subscriptions.lockOf(subscription.id())) {
      filter = subscription.filter();
    }
    Update update;
    synchronized (table) {
      update = table.updateFor(after, filter);
    }
    return !(update instanceof Update.Changes changes) || !changes.changes().isEmpty();
  }

  private void respond(Subscription subscription, Poll poll) {
    long edition;
    SubscriptionFilter filter;
    synchronized (subscriptions.lockOf(subscription.id())) {
      edition = subscription.edition();
      filter = subscription.filter();
    }
    Update update;
    long ageMicros;
    synchronized (table) {
      update = table.updateFor(poll.after(), filter);
      ageMicros = staleness.maxAgeMicros(clock.getAsLong());
    }
    if (update == null) {
      poll.responder().respond(HttpStatus.BEHIND_SUBSCRIBER, EMPTY_BODY);
    } else {
      byte[] body = new PollResponse(edition, ageMicros, update).toJson();
      poll.responder().respond(HttpStatus.OK, body);
    }
  }

  private void removeExpired() {
    subscriptions.removeUnusedSince(clock.getAsLong() - SUBSCRIPTION_EXPIRY_MICROS);
  }
}

package shelffront.controlplane;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;
import shelffront.controlplane.DistributionMessages.Added;
import shelffront.controlplane.DistributionMessages.ChangeNames;
import shelffront.controlplane.DistributionMessages.Polled;
import shelffront.controlplane.DistributionMessages.Subscribe;
import shelffront.controlplane.DistributionMessages.Subscribed;
import shelffront.controlplane.Subscription.Poll;
import shelffront.controlplane.Subscription.Responder;
import shelffront.distribution.RecordChange;
import shelffront.distribution.RecordTable;
import shelffront.distribution.Staleness;
import shelffront.distribution.SubscriptionFilter;
import shelffront.distribution.Update;
import shelffront.distribution.Version;

/**
 * Serves subscribers from one table. The table has a lock; subscriptions are in shards, each under
 * its own. No lock is held while an answer is made or written, and a subscriber costs its names and
 * at most one waiting poll: what it lacks is found anew from its version, in the bounded log or by
 * a snapshot.
 */
final class Distributor {

  static final int LOG_CHANGES = 10_000;
  static final long LOG_CHARACTERS = 32L << 20;
  static final int MOST_SUBSCRIPTIONS = 4096;
  static final int MOST_NAMES = 20_000;
  static final long LONGEST_WAIT = 10_000_000;
  private static final int SHARDS = 16;
  private static final long UNUSED =
      30_000_000; // a subscription that was not used for so long is forgotten
  private static final long SWEEP_MILLIS = 5_000;

  /** Statuses of HTTP, as answers use them. */
  private static final int OK = 200;

  private static final int CREATED = 201;
  private static final int UNKNOWN_SUBSCRIPTION = 404;
  private static final int BEHIND = 409;
  private static final int TOO_LARGE = 413;
  private static final int NOT_READY = 503;

  private static final byte[] NOTHING = {};

  private static final class Shard {
    private final Map<String, Subscription> subscriptions = new HashMap<>();
  }

  private volatile boolean ready; // it has read what its upstream has
  private final RecordTable table = new RecordTable(LOG_CHANGES, LOG_CHARACTERS);
  private final Staleness freshness = new Staleness();
  private final List<Shard> shards = new ArrayList<>();
  private final AtomicInteger count = new AtomicInteger();
  private final ScheduledExecutorService timer;
  private final Executor answers;
  private final LongSupplier clock;

  /** The clock is monotonic, in microseconds. */
  Distributor(ScheduledExecutorService timer, Executor answers, LongSupplier clock) {
    this.timer = timer;
    this.answers = answers;
    this.clock = clock;
    for (int i = 0; i < SHARDS; i++) {
      shards.add(new Shard());
    }
    timer.scheduleWithFixedDelay(this::sweep, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
  }

  // ---- From upstream
  // --------------------------------------------------------------------------------

  Version version() {
    synchronized (table) {
      return table.version();
    }
  }

  long age() {
    synchronized (table) {
      return freshness.maxAgeMicros(clock.getAsLong());
    }
  }

  int records() {
    synchronized (table) {
      return table.size();
    }
  }

  int subscriptions() {
    return count.get();
  }

  /**
   * What it has is current as of a question sent at this time, to somebody whose own view had this
   * age.
   */
  void confirm(long sentAt, long statedAge) {
    synchronized (table) {
      freshness.confirm(sentAt, statedAge);
    }
  }

  /**
   * Takes what upstream gave; false where that does not fit what is here, and only a snapshot
   * helps.
   */
  boolean take(Update update) {
    return update instanceof Update.Snapshot snapshot
        ? install(snapshot)
        : apply((Update.Changes) update);
  }

  private boolean install(Update.Snapshot snapshot) {
    boolean newer;
    synchronized (table) {
      newer = table.version().isBefore(snapshot.version()) && table.install(snapshot);
    }
    ready = true;
    if (newer) {
      wakeAll();
    }
    return true;
  }

  private boolean apply(Update.Changes update) {
    Set<String> changed = new HashSet<>();
    boolean complete = true;
    synchronized (table) {
      for (RecordChange change : update.changes()) {
        complete &= table.apply(change) != RecordTable.ApplyResult.GAP;
        changed.add(change.name());
      }
      complete &= !table.version().isBefore(update.version());
    }
    if (!changed.isEmpty()) {
      wake(changed);
    }
    return complete;
  }

  private void wakeAll() {
    for (Shard shard : shards) {
      synchronized (shard) {
        shard.subscriptions.values().forEach(this::wake);
      }
    }
  }

  private void wake(Set<String> changed) {
    for (Shard shard : shards) {
      synchronized (shard) {
        for (Subscription subscription : shard.subscriptions.values()) {
          if (subscription.isInterested(changed)) {
            wake(subscription);
          }
        }
      }
    }
  }

  /** Under the shard's lock. */
  private void wake(Subscription subscription) {
    Poll poll = subscription.unpark();
    if (poll != null) {
      poll.timeout.cancel(false);
      answers.execute(() -> answer(subscription, poll));
    }
  }

  // ---- From subscribers
  // --------------------------------------------------------------------------------

  private Shard shard(String id) {
    return shards.get(Math.floorMod(id.hashCode(), SHARDS));
  }

  private Subscription find(String id) {
    Shard shard = shard(id);
    synchronized (shard) {
      Subscription subscription = shard.subscriptions.get(id);
      if (subscription != null) {
        subscription.usedAt = clock.getAsLong();
      }
      return subscription;
    }
  }

  void subscribe(Subscribe asked, Responder responder) {
    if (!ready || count.get() >= MOST_SUBSCRIPTIONS) {
      responder.answer(NOT_READY, NOTHING);
      return;
    }
    if (asked.names().size() > MOST_NAMES) {
      responder.answer(TOO_LARGE, NOTHING);
      return;
    }
    String id = UUID.randomUUID().toString();
    Shard shard = shard(id);
    synchronized (shard) {
      shard.subscriptions.put(id, new Subscription(id, asked, clock.getAsLong()));
    }
    count.incrementAndGet();
    responder.answer(CREATED, new Subscribed(id).bytes());
  }

  /**
   * Adds names and gives their records; from here on, answers for this edition hold changes of them
   * too.
   */
  void changeNames(String id, ChangeNames change, Responder responder) {
    Subscription subscription = find(id);
    if (subscription == null) {
      responder.answer(UNKNOWN_SUBSCRIPTION, NOTHING);
      return;
    }
    synchronized (shard(id)) {
      if (subscription.size() + change.add().size() > MOST_NAMES) {
        responder.answer(TOO_LARGE, NOTHING);
        return;
      }
      subscription.change(change);
    }
    // Read after the names are followed: a change in between is in this answer, or in a later one,
    // or in both.
    Added added;
    synchronized (table) {
      List<RecordChange> records = new ArrayList<>();
      change.add().stream().map(table::record).filter(r -> r != null).forEach(records::add);
      added = new Added(table.version(), freshness.maxAgeMicros(clock.getAsLong()), records);
    }
    Set<String> absent = new HashSet<>(change.add());
    added.records().forEach(r -> absent.remove(r.name()));
    synchronized (shard(id)) {
      subscription.drop(absent);
    }
    responder.answer(OK, added.bytes());
  }

  /** Answers at once where the subscriber lacks something, else when it does, or after the wait. */
  void poll(String id, Version after, long wait, Responder responder) {
    Subscription subscription = find(id);
    if (subscription == null) {
      responder.answer(UNKNOWN_SUBSCRIPTION, NOTHING);
      return;
    }
    Poll poll = new Poll(after, responder);
    Version seen = version();
    if (lacksSomething(subscription, after)) {
      answer(subscription, poll);
      return;
    }
    synchronized (shard(id)) {
      poll.timeout =
          timer.schedule(
              () -> expire(subscription, poll),
              Math.min(wait, LONGEST_WAIT),
              TimeUnit.MICROSECONDS);
      Poll before = subscription.park(poll);
      if (before != null) {
        before.timeout.cancel(false);
        answers.execute(() -> answer(subscription, before));
      }
    }
    // A change between the look and the wait would have found nobody to wake.
    if (!version().equals(seen) && lacksSomething(subscription, after)) {
      synchronized (shard(id)) {
        wake(subscription);
      }
    }
  }

  private boolean lacksSomething(Subscription subscription, Version after) {
    Update update = updateFor(subscription, after);
    return !(update instanceof Update.Changes c) || !c.changes().isEmpty();
  }

  private Update updateFor(Subscription subscription, Version after) {
    SubscriptionFilter interest;
    synchronized (shard(subscription.id)) {
      interest = subscription.interest();
    }
    synchronized (table) {
      return table.updateFor(after, interest);
    }
  }

  private void expire(Subscription subscription, Poll poll) {
    boolean waits;
    synchronized (shard(subscription.id)) {
      waits = subscription.unpark(poll);
    }
    if (waits) {
      answers.execute(() -> answer(subscription, poll));
    }
  }

  private void answer(Subscription subscription, Poll poll) {
    long edition;
    SubscriptionFilter interest;
    synchronized (shard(subscription.id)) {
      edition = subscription.edition();
      interest = subscription.interest();
    }
    Update update;
    long age;
    synchronized (table) {
      update = table.updateFor(poll.after, interest);
      age = freshness.maxAgeMicros(clock.getAsLong());
    }
    if (update == null) {
      poll.responder.answer(BEHIND, NOTHING);
    } else {
      poll.responder.answer(OK, new Polled(edition, age, update).bytes());
    }
  }

  /**
   * Forgets subscriptions that nobody uses any more; their subscribers, should they come, subscribe
   * anew.
   */
  private void sweep() {
    long now = clock.getAsLong();
    for (Shard shard : shards) {
      synchronized (shard) {
        int before = shard.subscriptions.size();
        shard.subscriptions.values().removeIf(s -> s.usedAt < now - UNUSED);
        count.addAndGet(shard.subscriptions.size() - before);
      }
    }
  }
}

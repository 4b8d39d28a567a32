package shelffront.controlplane;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/**
 * The subscriptions of a distributor, in shards. Invariant: a subscription is read and changed only
 * under the lock of its shard.
 *
 * <p>Threads: thread-safe. No lock is held for longer than a pass over one shard.
 */
final class SubscriptionTable {

  private static final int SHARDS = 16;

  private static final class Shard {
    private final Map<String, Subscription> subscriptions = new HashMap<>();
  }

  private final List<Shard> shards = new ArrayList<>();
  private final AtomicInteger count = new AtomicInteger();

  SubscriptionTable() {
    for (int i = 0; i < SHARDS; i++) {
      shards.add(new Shard());
    }
  }

  int size() {
    return count.get();
  }

  private Shard shard(String id) {
    return shards.get(Math.floorMod(id.hashCode(), SHARDS));
  }

  /** The lock of the shard that guards the subscription with this id. */
  Object lockOf(String id) {
    return shard(id);
  }

  void add(Subscription subscription) {
    Shard shard = shard(subscription.id());
    synchronized (shard) {
      shard.subscriptions.put(subscription.id(), subscription);
    }
    count.incrementAndGet();
  }

  /** Finds a subscription and marks it as used; null if there is none with this id. */
  Subscription findAndMarkUsed(String id, long nowMicros) {
    Shard shard = shard(id);
    synchronized (shard) {
      Subscription subscription = shard.subscriptions.get(id);
      if (subscription != null) {
        subscription.markUsed(nowMicros);
      }
      return subscription;
    }
  }

  /** Calls the task for every subscription, under the lock of its shard. */
  void forEach(Consumer<Subscription> task) {
    for (Shard shard : shards) {
      synchronized (shard) {
        shard.subscriptions.values().forEach(task);
      }
    }
  }

  /**
   * Calls the task for every subscription that follows at least one of these names, under the lock
   * of its shard.
   */
  void forEachFollowing(Set<String> names, Consumer<Subscription> task) {
    forEach(
        subscription -> {
          if (subscription.followsAny(names)) {
            task.accept(subscription);
          }
        });
  }

  /**
   * Removes the subscriptions that were last used before a time; a subscriber that calls later has
   * to subscribe again.
   */
  void removeUnusedSince(long timeMicros) {
    for (Shard shard : shards) {
      synchronized (shard) {
        int before = shard.subscriptions.size();
        shard.subscriptions.values().removeIf(each -> each.usedAtMicros() < timeMicros);
        count.addAndGet(shard.subscriptions.size() - before);
      }
    }
  }
}

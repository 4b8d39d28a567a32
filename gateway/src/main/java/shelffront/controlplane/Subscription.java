package shelffront.controlplane;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import shelffront.distribution.SubscriptionFilter;
import shelffront.distribution.Version;

/**
 * One subscriber at a distributor: what it follows, and its poll where one waits. Guarded by its
 * shard's lock.
 */
final class Subscription {

  /** A poll that waits for a change. */
  static final class Poll {

    final Version after;
    final Responder responder;
    ScheduledFuture<?> timeout;

    Poll(Version after, Responder responder) {
      this.after = after;
      this.responder = responder;
    }
  }

  /** Where the answer to a call goes; once. */
  interface Responder {

    void answer(int status, byte[] body);
  }

  final String id;
  final String subscriber;
  private final boolean all;
  private final Set<String> names;
  private SubscriptionFilter interest;
  private long edition;
  private Poll waiting;
  long usedAt;

  Subscription(String id, DistributionMessages.Subscribe asked, long now) {
    this.id = id;
    subscriber = asked.subscriber();
    all = asked.all();
    names = new HashSet<>(asked.names());
    edition = asked.edition();
    interest = all ? SubscriptionFilter.ALL : SubscriptionFilter.ofNames(names);
    usedAt = now;
  }

  SubscriptionFilter interest() {
    return interest;
  }

  boolean isInterested(Set<String> changed) {
    return all || changed.stream().anyMatch(names::contains);
  }

  long edition() {
    return edition;
  }

  int size() {
    return names.size();
  }

  void change(DistributionMessages.ChangeNames change) {
    change.remove().forEach(names::remove);
    names.addAll(change.add());
    interest = all ? SubscriptionFilter.ALL : SubscriptionFilter.ofNames(names);
    edition = Math.max(edition, change.edition());
  }

  /** Follows these no longer. */
  void drop(Collection<String> dropped) {
    dropped.forEach(names::remove);
    interest = all ? SubscriptionFilter.ALL : SubscriptionFilter.ofNames(names);
  }

  /** Has a poll wait; gives the one that waited before, which nobody asks for any more. */
  Poll park(Poll poll) {
    Poll before = waiting;
    waiting = poll;
    return before;
  }

  /** Takes the poll that waits; null where there is none. */
  Poll unpark() {
    return park(null);
  }

  /** Takes this poll, unless another has taken its place or it was answered. */
  boolean unpark(Poll poll) {
    if (waiting != poll) {
      return false;
    }
    waiting = null;
    return true;
  }
}

package shelffront.controlplane;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import shelffront.distribution.SubscriptionFilter;
import shelffront.distribution.Version;

/**
 * One subscriber at a distributor: what it follows, and its poll where one waits. Invariant: one
 * poll waits at most. Threads: guarded by the lock of its shard in {@link SubscriptionTable}.
 */
final class Subscription {

  /** A poll that waits for a change. */
  static final class Poll {

    private final Version after;
    private final Responder responder;
    private ScheduledFuture<?> timeout;

    Poll(Version after, Responder responder) {
      this.after = after;
      this.responder = responder;
    }

    Version after() {
      return after;
    }

    Responder responder() {
      return responder;
    }

    void setTimeout(ScheduledFuture<?> newTimeout) {
      timeout = newTimeout;
    }

    void cancelTimeout() {
      timeout.cancel(false);
    }
  }

  /** Where the answer to a call goes; once. */
  interface Responder {

    void answer(int status, byte[] body);
  }

  private final String id;
  private final boolean all;
  private final Set<String> names;
  private SubscriptionFilter filter;
  private long edition;
  private Poll waitingPoll;
  private long usedAtMicros;

  Subscription(String id, DistributionMessages.Subscribe request, long nowMicros) {
    this.id = id;
    all = request.all();
    names = new HashSet<>(request.names());
    edition = request.edition();
    usedAtMicros = nowMicros;
    updateFilter();
  }

  private void updateFilter() {
    filter = all ? SubscriptionFilter.ALL : SubscriptionFilter.ofNames(names);
  }

  String id() {
    return id;
  }

  SubscriptionFilter filter() {
    return filter;
  }

  boolean isInterested(Set<String> changedNames) {
    return all || changedNames.stream().anyMatch(names::contains);
  }

  long edition() {
    return edition;
  }

  int size() {
    return names.size();
  }

  long usedAtMicros() {
    return usedAtMicros;
  }

  void markUsed(long nowMicros) {
    usedAtMicros = nowMicros;
  }

  void change(DistributionMessages.ChangeNames change) {
    change.remove().forEach(names::remove);
    names.addAll(change.add());
    updateFilter();
    edition = Math.max(edition, change.edition());
  }

  /** Follows these no longer. */
  void drop(Collection<String> droppedNames) {
    droppedNames.forEach(names::remove);
    updateFilter();
  }

  /** Has a poll wait; gives the one that waited before, which nobody asks for any more. */
  Poll park(Poll poll) {
    Poll before = waitingPoll;
    waitingPoll = poll;
    return before;
  }

  /** Takes the poll that waits; null where there is none. */
  Poll unpark() {
    return park(null);
  }

  /** Takes this poll, unless another has taken its place or it was answered. */
  boolean unpark(Poll poll) {
    if (waitingPoll != poll) {
      return false;
    }
    waitingPoll = null;
    return true;
  }
}

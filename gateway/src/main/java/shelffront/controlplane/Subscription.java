package shelffront.controlplane;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import shelffront.distribution.SubscriptionFilter;
import shelffront.distribution.Version;

/**
 * One subscriber of a distributor: the names that it follows, and its waiting poll. Invariant: at
 * most one poll waits. Threads: guarded by the lock of its shard in {@link SubscriptionTable}.
 */
final class Subscription {

  /** A poll that may wait for a change. */
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

  /** Writes the response to a call; called exactly once. */
  interface Responder {

    void respond(int status, byte[] body);
  }

  private final String id;
  private final boolean all;
  private final Set<String> names;
  private SubscriptionFilter filter;
  private long edition;
  private Poll waitingPoll;
  private long usedAtMicros;

  Subscription(String id, DistributionMessages.SubscribeRequest request, long nowMicros) {
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

  boolean followsAny(Set<String> changedNames) {
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

  void changeNames(DistributionMessages.ChangeNamesRequest change) {
    change.remove().forEach(names::remove);
    names.addAll(change.add());
    updateFilter();
    edition = Math.max(edition, change.edition());
  }

  /** Removes names from the filter. */
  void removeNames(Collection<String> removedNames) {
    removedNames.forEach(names::remove);
    updateFilter();
  }

  /**
   * Makes a poll the waiting one and returns the poll that waited before, which its subscriber has
   * abandoned; null if there was none.
   */
  Poll replaceWaitingPoll(Poll poll) {
    Poll replaced = waitingPoll;
    waitingPoll = poll;
    return replaced;
  }

  /** Removes and returns the waiting poll; null if there is none. */
  Poll takeWaitingPoll() {
    return replaceWaitingPoll(null);
  }

  /** Removes the given poll if it is still the waiting one, and returns whether it was. */
  boolean removeWaitingPoll(Poll poll) {
    if (waitingPoll != poll) {
      return false;
    }
    waitingPoll = null;
    return true;
  }
}

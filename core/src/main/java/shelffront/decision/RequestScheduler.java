package shelffront.decision;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.stream.IntStream;
import shelffront.routing.DeduplicationScope;
import shelffront.routing.RequestClass;

/** The requests in hand: sent, held, looked at again, refused or failed; each ends exactly once. */
record RequestScheduler(
    RoutingState state,
    EndpointSelector choice,
    AttemptAdmission guards,
    EndpointRegistry membership,
    OutlierDetector health) {

  static final int STUCK = 4; // Held ones that find no member and speak for their class.

  /** Puts the queues in the order in which held requests are looked at. */
  void sort() {
    if (state.order.isEmpty()) {
      IntStream.range(0, 2 * state.usual.length).forEach(state.order::add);
    }
    state.order.sort(Comparator.comparingDouble(i -> -urgency(i)));
  }

  /**
   * Sends the request now if a member suits, else holds it; gives up where no further try can help.
   */
  void dispatch(PendingRequest p) {
    if (!p.open || p.outstanding() > 0) { // the timer of one that was held finds it sent
      return;
    }
    if (p.attempts.size() >= state.settings.limits().maxAttempts()
        || !guards.mayTryAgain(p)
        || state.now >= lastStart(p)) {
      giveUp(p);
      return;
    }
    EndpointState node = choice.choose(p);
    if (node != null && send(p, node)) {
      return;
    }
    if (p.queue == null) {
      hold(p, 0);
      state.at(
          p, Math.max(state.now + state.settings.tickMicros(), lastStart(p)), () -> dispatch(p));
      if (p.type.lateValueFraction() >= PendingRequest.LATE_WORTH) {
        int late = state.usual.length;
        state.at(
            p,
            p.arrival + p.type.latencyObjectiveMicros(),
            () -> hold(p, p.queue == null ? -1 : late));
      }
      state.at(p, p.arrival + EndpointSelector.HOLD, () -> release(p.group));
      membership.wantPositions(p.group);
    }
  }

  /**
   * After this time an attempt would most likely be answered too late to be worth anything. One
   * never tried is given up well before half of its time, while its client can still turn
   * elsewhere.
   */
  private long lastStart(PendingRequest p) {
    return Math.min(
        p.attempts.isEmpty() ? p.arrival + p.request.timeToDeadlineMicros() * 2 / 5 : p.deadline,
        p.usefulUntil() - (long) Math.min(state.usual(p), p.type.latencyObjectiveMicros() / 2.0));
  }

  /** Puts a request in the queue of its class, the one for late requests where that is asked. */
  void hold(PendingRequest p, int late) {
    if (p.open && late >= 0) {
      p.queue = p.group.held.get(p.request.classIndex() + late);
      p.queue.add(p);
    }
  }

  /**
   * Looks again at held requests, the most worth for their work first; a few stuck speak for a
   * class.
   */
  void release(ReplicaSet g) {
    for (int index : state.order) {
      LinkedHashSet<PendingRequest> q = g.held.get(index);
      int stuck = 0;
      for (var each = q.iterator(); each.hasNext() && stuck < STUCK; ) {
        PendingRequest p = each.next();
        if (p.queue == q) {
          dispatch(p);
        }
        if (p.queue == q) {
          stuck++;
        } else {
          each.remove();
        }
      }
    }
  }

  /** The single way out for attempts: every rule is checked by the guards. */
  boolean send(PendingRequest p, EndpointState n) {
    if (!guards.allows(p, n)) {
      return false;
    }
    Attempt a = new Attempt(p, n, state.now);
    p.attempts.add(a);
    p.queue = null;
    n.out.add(a);
    state.attemptsOut.put(p.request.id() + a.number, a);
    n.sends.record(state.now, 1);
    n.sentAt = state.now;
    state.actions.startAttempt(p.request.id(), n.id, 0);
    if (p.type.isIdempotent()) {
      state.at(p, state.now + (long) state.usual(p), () -> secondCopy(a));
    }
    return true;
  }

  /** The single way out for final answers that the module gives. */
  void giveUp(PendingRequest p) {
    if (!p.open) {
      return;
    }
    close(p);
    if (p.type.isIdempotent()
        || p.mayHaveRun() == null
        || p.type.isDeduplicatedWithin(DeduplicationScope.ALL)) {
      long wait =
          p.group.primary == null ? 1_000_000 : 200_000; // usual length of what is in the way
      state.actions.reject(p.request.id(), state.settings.limits().retryAfterMicros(wait));
    } else {
      state.actions.fail(p.request.id());
    }
  }

  /** Ends the request here; what is still out for it is called off. */
  void close(PendingRequest p) {
    p.open = false;
    p.queue = null;
    state.pending.remove(p.request.id());
    if (++state.ended > 64 + state.timers.size() / 8) { // those of ended requests must not pile up
      state.ended = 0;
      state.timers.removeCancelled();
    }
    for (Attempt a : p.attempts) {
      if (a.status == null
          && state.settings.limits().cancellationAllowed()
          && p.type.isIdempotent()) {
        state.actions.cancelAttempt(p.request.id(), a.number);
      }
    }
  }

  /**
   * A read unanswered for long gets a second copy when its member fell silent, was banned or left.
   */
  void secondCopy(Attempt a) {
    PendingRequest p = a.request;
    if (!p.open || a.status != null || p.attempts.get(p.attempts.size() - 1) != a) {
      return;
    }
    boolean lost =
        !a.node.open
            || state.now < a.node.bannedUntil
            || health.silent(a.node)
            || a.overtaken()
                && state.now - a.sentAt > OutlierDetector.SILENT_WAITS * state.usual(p);
    boolean may = state.settings.limits().hedgingAllowed() && state.now < lastStart(p);
    EndpointState n = may && lost ? choice.choose(p) : null;
    boolean copied = n != null && n != a.node && send(p, n);
    if (lost && state.settings.limits().cancellationAllowed() && (copied || !may)) {
      state.actions.cancelAttempt(p.request.id(), a.number);
    }
    if (!copied && state.now < lastStart(p)) {
      state.at(p, state.now + (long) state.usual(p), () -> secondCopy(a));
    }
  }

  /** Worth of a queue's requests for their usual work. */
  double urgency(int queue) {
    RequestClass type = state.settings.requestClasses().get(queue % state.usual.length);
    return type.priorityWeight()
        * (queue < state.usual.length ? 1 : type.lateValueFraction())
        / state.usual[queue % state.usual.length];
  }
}

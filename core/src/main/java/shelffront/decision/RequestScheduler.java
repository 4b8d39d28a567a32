package shelffront.decision;

import java.util.Iterator;
import java.util.LinkedHashSet;

/**
 * Sends requests, queues those that no endpoint suits yet, and looks at them again.
 *
 * <p>Invariant: a queued request has a timer that looks at it again before it is too late.
 */
record RequestScheduler(
    RoutingState state,
    EndpointSelector selector,
    HedgingPolicy hedgingPolicy,
    LoadShedder loadShedder,
    HealthCheckScheduler healthChecks) {

  /** Queued requests without a suitable endpoint after which the rest of a queue is left. */
  private static final int MAX_UNSUITABLE_PER_QUEUE = 4;

  /** Sends the request now if an endpoint suits, else queues it; sheds it where it is hopeless. */
  void dispatch(PendingRequest request) {
    if (!request.open || request.hasAttemptOut()) { // a timer set while it was queued
      return;
    }
    if (loadShedder.isHopeless(request)) {
      loadShedder.shed(request);
      return;
    }
    EndpointState endpoint = selector.select(request);
    if (endpoint != null && hedgingPolicy.startAttempt(request, endpoint)) {
      return;
    }
    if (!request.isQueued()) {
      enqueue(request, false);
      scheduleWhileQueued(request);
      healthChecks.checkForQueuedRequests(request.replicaSet);
    }
  }

  private void enqueue(PendingRequest request, boolean late) {
    RequestQueueKey key = new RequestQueueKey(request.request.classIndex(), late);
    request.queue = request.replicaSet.queue(key);
    request.queue.add(request);
  }

  /** Looks again when sending gets useless, when it gets late, and when its wait for one ends. */
  private void scheduleWhileQueued(PendingRequest request) {
    long latestStartMicros = loadShedder.latestUsefulStartMicros(request);
    state.schedule(
        request,
        Math.max(state.nowMicros + state.settings.tickMicros(), latestStartMicros),
        () -> dispatch(request));
    if (request.keepsValueWhenLate()) {
      state.schedule(request, request.objectiveAtMicros(), () -> moveToLateQueue(request));
    }
    state.schedule(
        request,
        request.arrivedAtMicros + EndpointSelector.MAX_REPLICA_WAIT_MICROS,
        () -> dispatchQueued(request.replicaSet));
  }

  private void moveToLateQueue(PendingRequest request) {
    if (request.open && request.isQueued()) {
      enqueue(request, true);
    }
  }

  /** Looks again at the queued requests of a replica set, since an endpoint may suit now. */
  void dispatchQueued(ReplicaSet replicaSet) {
    for (RequestQueueKey key : state.queueOrder) {
      dispatchQueue(replicaSet.queue(key));
    }
  }

  /** Dispatches a queue's requests in order, until a few of them have found no endpoint. */
  private void dispatchQueue(LinkedHashSet<PendingRequest> queue) {
    int unsuitable = 0;
    Iterator<PendingRequest> requests = queue.iterator();
    while (requests.hasNext() && unsuitable < MAX_UNSUITABLE_PER_QUEUE) {
      PendingRequest request = requests.next();
      if (request.queue == queue) {
        dispatch(request);
      }
      if (request.queue == queue) {
        unsuitable++;
      } else {
        requests.remove();
      }
    }
  }
}

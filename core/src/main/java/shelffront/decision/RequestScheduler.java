package shelffront.decision;

import java.util.Iterator;
import java.util.LinkedHashSet;

/**
 * Sends requests, queues those that have no suitable endpoint yet, and dispatches queued ones
 * again.
 *
 * <p>Invariant: every queued request has a timer that dispatches or sheds it in time.
 */
record RequestScheduler(
    RoutingState state,
    EndpointSelector selector,
    HedgingPolicy hedgingPolicy,
    LoadShedder loadShedder,
    HealthCheckScheduler healthChecks) {

  /** Number of requests without a suitable endpoint after which the rest of a queue is skipped. */
  private static final int MAX_UNSUITABLE_PER_QUEUE = 4;

  /**
   * Sends the request now if an endpoint is suitable, otherwise queues it; sheds it if it can no
   * longer be served in time.
   */
  void dispatch(PendingRequest request) {
    if (!request.open || request.hasOutstandingAttempt()) { // stale timer from queueing
      return;
    }
    if (loadShedder.shouldShed(request)) {
      loadShedder.shed(request);
      return;
    }
    EndpointState endpoint = selector.select(request);
    if (endpoint != null && hedgingPolicy.startAttempt(request, endpoint)) {
      return;
    }
    if (!request.isQueued()) {
      enqueue(request, false);
      scheduleQueueTimers(request);
      healthChecks.checkForQueuedRequests(request.replicaSet);
    }
  }

  private void enqueue(PendingRequest request, boolean late) {
    RequestQueueKey key = new RequestQueueKey(request.request.classIndex(), late);
    request.queue = request.replicaSet.queue(key);
    request.queue.add(request);
  }

  /**
   * Sets timers for the time when sending becomes useless, for the latency objective, and for the
   * end of the wait for a replica.
   */
  private void scheduleQueueTimers(PendingRequest request) {
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

  /**
   * Dispatches the queued requests of a replica set, in which an endpoint may have become suitable.
   */
  void dispatchQueued(ReplicaSet replicaSet) {
    for (RequestQueueKey key : state.queueOrder) {
      dispatchQueue(replicaSet.queue(key));
    }
  }

  /**
   * Dispatches the requests of a queue in order, until too many of them have no suitable endpoint.
   */
  private void dispatchQueue(LinkedHashSet<PendingRequest> queue) {
    int unsuitableCount = 0;
    Iterator<PendingRequest> requests = queue.iterator();
    while (requests.hasNext() && unsuitableCount < MAX_UNSUITABLE_PER_QUEUE) {
      PendingRequest request = requests.next();
      if (request.queue == queue) {
        dispatch(request);
      }
      if (request.queue == queue) {
        unsuitableCount++;
      } else {
        requests.remove();
      }
    }
  }
}

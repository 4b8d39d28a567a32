package shelffront.decision;

import static shelffront.routing.Router.UNKNOWN;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;
import shelffront.consistency.ExecutedRequests;
import shelffront.consistency.SessionPositions;
import shelffront.fleet.HealthCheckBudget;
import shelffront.routing.RequestClass;
import shelffront.routing.RouterActions;
import shelffront.routing.RoutingSettings;
import shelffront.time.TimerQueue;

/**
 * Mutable state of the decision module. The policies have none of their own, except for {@link
 * EndpointListBackoff}.
 *
 * <p>Invariants: {@link #nowMicros} is the time of the event being processed; every random choice
 * uses {@link #random}, and every timer is in {@link #timers}. Used on one thread.
 */
final class RoutingState {

  private static final int MAX_REMEMBERED_SESSIONS = 20_000;
  private static final int MAX_REMEMBERED_REQUESTS = 20_000;

  /** Minimum time between two log lines; lines within it are dropped. */
  private static final long LOG_INTERVAL_MICROS = 200_000;

  private static final double MIN_OVERLOAD_WINDOW_SECONDS = 0.001;

  final RouterActions actions;

  /** Called when something in a replica set has changed; dispatches its queued requests. */
  Consumer<ReplicaSet> replicaSetChanged;

  final TimerQueue timers;
  RoutingSettings settings;
  Random random;
  long nowMicros;
  final TreeMap<String, EndpointState> endpoints = new TreeMap<>();
  final TreeMap<Integer, ReplicaSet> replicaSets = new TreeMap<>();

  /** The replica sets whose presumed primary is known, by the id of that endpoint. */
  final HashMap<String, ReplicaSet> primarySets = new HashMap<>();

  /**
   * Whether reports about roles may have been missed, or forgotten with an endpoint that was
   * removed, so that an endpoint which joins may have reported to be a replica.
   */
  boolean roleReportsMissed;

  final HashMap<String, PendingRequest> pendingRequests = new HashMap<>();
  final HashMap<AttemptId, Attempt> outstandingAttempts = new HashMap<>();

  /** Requests that may be executed at most once, or only within a window. */
  ExecutedRequests executedRequests;

  final SessionPositions sessions = new SessionPositions(MAX_REMEMBERED_SESSIONS);

  /** Queues of a replica set in the order in which they are served. */
  final ArrayList<RequestQueueKey> queueOrder = new ArrayList<>();

  int completedSinceTimerSweep;

  /** Smoothed service time by class index. */
  double[] typicalServiceMicros;

  HealthCheckBudget healthCheckBudget;

  /** Mean number of recent attempts to a warm endpoint, per unit of its capacity. */
  double warmEndpointSends;

  /** Time until which establishing a connection is expected to take too long. */
  long connectionsExpensiveUntilMicros = UNKNOWN;

  private long lastLoggedAtMicros = UNKNOWN;

  RoutingState(RouterActions actions) {
    this.actions = actions;
    timers = new TimerQueue(atMicros -> actions.setTimer("wake", atMicros));
  }

  /**
   * Empties the store of executed requests. A client sends a request again while it waits for it,
   * so each is kept for the longest deadline and window.
   */
  void forgetExecutedRequests() {
    long retentionMicros = 0;
    for (RequestClass each : settings.requestClasses()) {
      retentionMicros =
          Math.max(retentionMicros, each.deadlineMicros() + each.deduplicationWindowMicros());
    }
    executedRequests = new ExecutedRequests(MAX_REMEMBERED_REQUESTS, retentionMicros);
  }

  /** Runs the task at the given time; it may be dropped once the request has been completed. */
  void schedule(PendingRequest request, long atMicros, Runnable task) {
    timers.schedule(atMicros, () -> request.open, task);
  }

  /** Runs the task at the given time unconditionally. */
  void schedule(long atMicros, Runnable task) {
    timers.schedule(atMicros, () -> true, task);
  }

  /** Typical service time of the request's class. */
  double typicalServiceMicros(PendingRequest request) {
    return typicalServiceMicros[request.request.classIndex()];
  }

  /**
   * Returns the replica set with this number, which is created on first use and, unless a list
   * names it, dropped with its last open request.
   */
  ReplicaSet replicaSet(int number) {
    double overloadSeconds =
        Math.max(MIN_OVERLOAD_WINDOW_SECONDS, settings.safetyRules().overloadWindowMicros() / 1e6);
    return replicaSets.computeIfAbsent(
        number, absent -> new ReplicaSet(typicalServiceMicros.length, overloadSeconds));
  }

  /** Writes a line to the log; drops it within {@link #LOG_INTERVAL_MICROS} of the last one. */
  void logRateLimited(String text) {
    if (nowMicros - lastLoggedAtMicros > LOG_INTERVAL_MICROS) {
      lastLoggedAtMicros = nowMicros;
      actions.log(text);
    }
  }
}

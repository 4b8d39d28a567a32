package shelffront.decision;

import static shelffront.routing.Router.UNKNOWN;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;
import shelffront.consistency.SessionPositions;
import shelffront.fleet.HealthCheckBudget;
import shelffront.routing.RouterActions;
import shelffront.routing.RoutingSettings;
import shelffront.time.TimerQueue;

/**
 * All that changes in the module; the policies hold nothing of their own.
 *
 * <p>Invariants: {@link #nowMicros} is the time of the event in work; every random choice draws
 * from {@link #random}, and every timer stands in {@link #timers}. Used on one thread.
 */
final class RoutingState {

  private static final int MAX_REMEMBERED_SESSIONS = 20_000;

  /** At most one log line in this time is written; others are dropped. */
  private static final long LOG_INTERVAL_MICROS = 200_000;

  private static final double MIN_OVERLOAD_WINDOW_SECONDS = 0.001;

  final RouterActions actions;

  /** Looks again at the queued requests of a replica set, since something in it changed. */
  Consumer<ReplicaSet> replicaSetChanged;

  final TimerQueue timers;
  RoutingSettings settings;
  Random random;
  long nowMicros;
  final TreeMap<String, EndpointState> endpoints = new TreeMap<>();
  final TreeMap<Integer, ReplicaSet> replicaSets = new TreeMap<>();
  final HashMap<String, PendingRequest> pendingRequests = new HashMap<>();
  final HashMap<AttemptId, Attempt> attemptsOut = new HashMap<>();
  final SessionPositions sessions = new SessionPositions(MAX_REMEMBERED_SESSIONS);

  /** Order in which the queues of a replica set are looked at. */
  final ArrayList<RequestQueueKey> queueOrder = new ArrayList<>();

  int completedSinceTimerSweep;

  /** Smoothed service time by class. */
  double[] typicalServiceMicros;

  HealthCheckBudget healthCheckBudget;

  /** Recent attempts to a warm endpoint of capacity 1, on average. */
  double warmEndpointSends;

  /** Until then setting up a connection is expected to take too long. */
  long connectionsExpensiveUntilMicros = UNKNOWN;

  private long loggedAtMicros = UNKNOWN;

  RoutingState(RouterActions actions) {
    this.actions = actions;
    timers = new TimerQueue(atMicros -> actions.setTimer("wake", atMicros));
  }

  /** Runs a task at a time; it may be dropped once the request that it is about has ended. */
  void schedule(PendingRequest request, long atMicros, Runnable task) {
    timers.schedule(atMicros, () -> request.open, task);
  }

  /** Runs a task at a time in any case. */
  void schedule(long atMicros, Runnable task) {
    timers.schedule(atMicros, () -> true, task);
  }

  /** Typical service time of a request's class. */
  double typicalServiceMicros(PendingRequest request) {
    return typicalServiceMicros[request.request.classIndex()];
  }

  /** The replica set of this number, which is added when it is first asked for. */
  ReplicaSet replicaSet(int number) {
    double overloadSeconds =
        Math.max(MIN_OVERLOAD_WINDOW_SECONDS, settings.safetyRules().overloadWindowMicros() / 1e6);
    return replicaSets.computeIfAbsent(
        number, absent -> new ReplicaSet(typicalServiceMicros.length, overloadSeconds));
  }

  /** Writes a line to the log; drops it within {@link #LOG_INTERVAL_MICROS} of the last one. */
  void note(String text) {
    if (nowMicros - loggedAtMicros > LOG_INTERVAL_MICROS) {
      loggedAtMicros = nowMicros;
      actions.log(text);
    }
  }
}

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

/** All that changes in the module; the parts that decide hold nothing of their own. */
final class RoutingState {

  final RouterActions actions;

  /** Looks again at what is held in a group, since something in it changed. */
  Consumer<ReplicaSet> changed;

  final TimerQueue timers;
  RoutingSettings settings;
  Random random;
  long now;
  final TreeMap<String, EndpointState> nodes = new TreeMap<>();
  final TreeMap<Integer, ReplicaSet> groups = new TreeMap<>();
  final HashMap<String, PendingRequest> pending = new HashMap<>();
  final HashMap<String, Attempt> attemptsOut = new HashMap<>(); // by request id and number
  final SessionPositions sessions = new SessionPositions(20_000);
  final ArrayList<Integer> order = new ArrayList<>(); // of the queues of held requests
  int ended; // requests, since the timers were swept
  double[] usual; // answer time by class, smoothed
  HealthCheckBudget probes;
  double usualSends; // sends of late to a warm member of size 1
  long dearUntil = UNKNOWN; // connections take too long to set up
  private long loggedAt = UNKNOWN;

  RoutingState(RouterActions actions) {
    this.actions = actions;
    timers = new TimerQueue(at -> actions.setTimer("wake", at));
  }

  /** Runs the task at a time, unless it is about a request that has ended by then. */
  void at(PendingRequest owner, long when, Runnable task) {
    timers.schedule(when, () -> owner == null || owner.open, task);
  }

  /** Usual answer time of a request's class. */
  double usual(PendingRequest p) {
    return usual[p.request.classIndex()];
  }

  ReplicaSet group(int number) {
    double fallSeconds = Math.max(0.001, settings.safetyRules().overloadWindowMicros() / 1e6);
    return groups.computeIfAbsent(number, k -> new ReplicaSet(2 * usual.length, fallSeconds));
  }

  void note(String text) {
    if (now - loggedAt > 200_000) {
      loggedAt = now;
      actions.log(text);
    }
  }
}

package shelffront.decide;

import static shelffront.route.Router.UNKNOWN;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;
import shelffront.fleet.ProbeAllowance;
import shelffront.marks.SessionMarks;
import shelffront.route.Router.Actions;
import shelffront.route.Router.Settings;
import shelffront.time.Timers;

/** All that changes in the module; the parts that decide hold nothing of their own. */
final class State {

  final Actions actions;

  /** Looks again at what is held in a group, since something in it changed. */
  Consumer<Group> changed;

  final Timers timers;
  Settings settings;
  Random random;
  long now;
  final TreeMap<String, Node> nodes = new TreeMap<>();
  final TreeMap<Integer, Group> groups = new TreeMap<>();
  final HashMap<String, Pending> pending = new HashMap<>();
  final HashMap<String, Attempt> attemptsOut = new HashMap<>(); // by request id and number
  final SessionMarks sessions = new SessionMarks(20_000);
  final ArrayList<Integer> order = new ArrayList<>(); // of the queues of held requests
  int ended; // requests, since the timers were swept
  double[] usual; // answer time by class, smoothed
  ProbeAllowance probes;
  double usualSends; // sends of late to a warm member of size 1
  long dearUntil = UNKNOWN; // connections take too long to set up
  private long loggedAt = UNKNOWN;

  State(Actions actions) {
    this.actions = actions;
    timers = new Timers(at -> actions.setTimer("wake", at));
  }

  /** Runs the task at a time, unless it is about a request that has ended by then. */
  void at(Pending owner, long when, Runnable task) {
    timers.at(when, () -> owner == null || owner.open, task);
  }

  /** Usual answer time of a request's class. */
  double usual(Pending p) {
    return usual[p.request.classIndex()];
  }

  Group group(int number) {
    double fallSeconds = Math.max(0.001, settings.rules().fallTime() / 1e6);
    return groups.computeIfAbsent(number, k -> new Group(2 * usual.length, fallSeconds));
  }

  void note(String text) {
    if (now - loggedAt > 200_000) {
      loggedAt = now;
      actions.log(text);
    }
  }
}

package shelffront.decide;

import static shelffront.route.Router.UNKNOWN;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.TreeMap;
import java.util.stream.Stream;
import shelffront.count.Recent;
import shelffront.fleet.ColdBudget;

/** The members that hold the same data: one primary and its replicas. */
final class Group {

  final TreeMap<String, Node> nodes = new TreeMap<>();

  /** Held requests by class, in time, then late; those that left are dropped when met. */
  final List<LinkedHashSet<Pending>> held;

  List<String> own; // replicas preferred here; null: to be chosen anew
  Node primary;
  long primaryAt = UNKNOWN; // time for which the newest word on the primary holds
  String scouted = ""; // last member that a write tried in search of the primary
  Pending scout;
  long scoutAfter = UNKNOWN;
  final Recent slow = new Recent(4); // of all its members together
  final ColdBudget cold;

  Group(int queues, double fallSeconds) {
    cold = new ColdBudget(fallSeconds);
    held = Stream.<LinkedHashSet<Pending>>generate(LinkedHashSet::new).limit(queues).toList();
  }
}

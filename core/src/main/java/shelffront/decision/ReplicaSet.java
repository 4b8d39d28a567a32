package shelffront.decision;

import static shelffront.routing.Router.UNKNOWN;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.TreeMap;
import java.util.stream.Stream;
import shelffront.fleet.SlowStartBudget;
import shelffront.statistics.DecayingAverage;

/** The members that hold the same data: one primary and its replicas. */
final class ReplicaSet {

  final TreeMap<String, EndpointState> nodes = new TreeMap<>();

  /** Held requests by class, in time, then late; those that left are dropped when met. */
  final List<LinkedHashSet<PendingRequest>> held;

  List<String> own; // replicas preferred here; null: to be chosen anew
  EndpointState primary;
  long primaryAt = UNKNOWN; // time for which the newest word on the primary holds
  String scouted = ""; // last member that a write tried in search of the primary
  PendingRequest scout;
  long scoutAfter = UNKNOWN;
  final DecayingAverage slow = new DecayingAverage(4); // of all its members together
  final SlowStartBudget cold;

  ReplicaSet(int queues, double fallSeconds) {
    cold = new SlowStartBudget(fallSeconds);
    held =
        Stream.<LinkedHashSet<PendingRequest>>generate(LinkedHashSet::new).limit(queues).toList();
  }
}

package shelffront.decision;

import static shelffront.routing.Router.UNKNOWN;

import java.util.LinkedHashSet;
import shelffront.consistency.ReplicationProgress;
import shelffront.fleet.SlowStartBudget;
import shelffront.routing.Endpoint;
import shelffront.statistics.ConcurrencyLimit;
import shelffront.statistics.DecayingAverage;
import shelffront.statistics.LatencyStatistics;

/** A member as this instance sees it. */
final class EndpointState {

  final String id;
  Endpoint entry;
  ReplicaSet group;
  boolean open; // listed as live: may be sent to
  final ReplicationProgress progress = new ReplicationProgress(); // how far it has applied the log
  long probedAt = UNKNOWN;
  long connectedUntil = UNKNOWN; // a connection is open, unless it is used or the member closed it
  boolean probing; // a probe is out
  final DecayingAverage slow =
      new DecayingAverage(1); // answer times over the usual one of the class
  final LatencyStatistics answers = new LatencyStatistics(1_000_000, 100_000, 0.2);
  long servedTo = UNKNOWN; // newest send that it answered: what was sent before was overtaken
  final ConcurrencyLimit limit = new ConcurrencyLimit(); // requests at a time
  long answeredAt = UNKNOWN;
  int failures; // in a row
  int breaks; // connections that broke or never came up, in a row
  long scarceUntil = UNKNOWN; // its connections: others wait for those that idle here
  long bannedUntil = UNKNOWN;
  boolean unreachable; // the last probe failed: one that is answered ends the ban
  boolean onTrial; // banned before and not proved since: one request at a time
  final DecayingAverage sends = new DecayingAverage(SlowStartBudget.WINDOW);
  long sentAt = UNKNOWN;
  final LinkedHashSet<Attempt> out = new LinkedHashSet<>();

  EndpointState(String id) {
    this.id = id;
  }

  double size() {
    return Math.max(0.01, entry.capacityHint());
  }
}

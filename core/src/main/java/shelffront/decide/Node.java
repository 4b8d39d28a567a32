package shelffront.decide;

import static shelffront.route.Router.UNKNOWN;

import java.util.LinkedHashSet;
import shelffront.count.AnswerTimes;
import shelffront.count.Recent;
import shelffront.count.Window;
import shelffront.fleet.ColdBudget;
import shelffront.marks.Progress;
import shelffront.route.Router.Member;

/** A member as this instance sees it. */
final class Node {

  final String id;
  Member entry;
  Group group;
  boolean open; // listed as live: may be sent to
  final Progress progress = new Progress(); // how far it has applied the log
  long probedAt = UNKNOWN;
  long connectedUntil = UNKNOWN; // a connection is open, unless it is used or the member closed it
  boolean probing; // a probe is out
  final Recent slow = new Recent(1); // answer times over the usual one of the class
  final AnswerTimes answers = new AnswerTimes(1_000_000, 100_000, 0.2);
  long servedTo = UNKNOWN; // newest send that it answered: what was sent before was overtaken
  final Window limit = new Window(); // requests at a time
  long answeredAt = UNKNOWN;
  int failures; // in a row
  int breaks; // connections that broke or never came up, in a row
  long scarceUntil = UNKNOWN; // its connections: others wait for those that idle here
  long bannedUntil = UNKNOWN;
  boolean unreachable; // the last probe failed: one that is answered ends the ban
  boolean onTrial; // banned before and not proved since: one request at a time
  final Recent sends = new Recent(ColdBudget.WINDOW);
  long sentAt = UNKNOWN;
  final LinkedHashSet<Attempt> out = new LinkedHashSet<>();

  Node(String id) {
    this.id = id;
  }

  double size() {
    return Math.max(0.01, entry.size());
  }
}

package shelffront.distribution;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** The last changes of one incarnation, without a gap; bounded in number and in characters. */
final class ChangeLog {

  private final int mostChanges;
  private final long mostCharacters;
  private final ArrayDeque<RecordChange> changes = new ArrayDeque<>();
  private long characters;
  private Version start; // changes after this one are here

  ChangeLog(int mostChanges, long mostCharacters, Version start) {
    this.mostChanges = mostChanges;
    this.mostCharacters = mostCharacters;
    this.start = start;
  }

  /** Takes the change that follows the last one. */
  void append(RecordChange change) {
    changes.addLast(change);
    characters += change.size();
    while (changes.size() > mostChanges || characters > mostCharacters) {
      RecordChange oldest = changes.removeFirst();
      characters -= oldest.size();
      start = oldest.version();
    }
  }

  /** Forgets all; what follows comes after this version. */
  void restart(Version version) {
    changes.clear();
    characters = 0;
    start = version;
  }

  /** Whether every change after this version is here. */
  boolean reaches(Version after) {
    return after.incarnation() == start.incarnation() && !after.isBefore(start);
  }

  /** The changes after a version that it {@link #reaches}, of what is followed. */
  List<RecordChange> after(Version version, SubscriptionFilter interest) {
    List<RecordChange> found = new ArrayList<>();
    // From the newest: a subscriber lacks few of many.
    for (var each = changes.descendingIterator(); each.hasNext(); ) {
      RecordChange change = each.next();
      if (!version.isBefore(change.version())) {
        break;
      }
      if (interest.matches(change.name())) {
        found.add(0, change);
      }
    }
    return found;
  }
}

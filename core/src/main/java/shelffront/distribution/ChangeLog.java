package shelffront.distribution;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/**
 * The last changes of one incarnation. Invariants: no gap between them; bounded in number and in
 * characters. Threads: guarded by its owner.
 */
final class ChangeLog {

  private final int maxChanges;
  private final long maxCharacters;
  private final ArrayDeque<RecordChange> changes = new ArrayDeque<>();
  private long characters;
  private Version start; // changes after this one are here

  ChangeLog(int maxChanges, long maxCharacters, Version start) {
    this.maxChanges = maxChanges;
    this.maxCharacters = maxCharacters;
    this.start = start;
  }

  /** Adds the change that follows the last one; the oldest ones go where a bound is passed. */
  void append(RecordChange change) {
    changes.addLast(change);
    characters += change.size();
    while (changes.size() > maxChanges || characters > maxCharacters) {
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

  /** The changes after a version that it {@link #reaches}, of the names that match. */
  List<RecordChange> after(Version version, SubscriptionFilter filter) {
    List<RecordChange> found = new ArrayList<>();
    // From the newest: a subscriber lacks few of many.
    Iterator<RecordChange> newestFirst = changes.descendingIterator();
    while (newestFirst.hasNext()) {
      RecordChange change = newestFirst.next();
      if (!version.isBefore(change.version())) {
        break;
      }
      if (filter.matches(change.name())) {
        found.add(0, change);
      }
    }
    return found;
  }
}

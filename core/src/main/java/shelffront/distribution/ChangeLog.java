package shelffront.distribution;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/**
 * The most recent changes of one incarnation. Invariants: the changes have no gap, and both their
 * number and their total characters are bounded. Threads: not thread-safe; guarded by its owner.
 */
final class ChangeLog {

  private final int maxChanges;
  private final long maxCharacters;
  private final ArrayDeque<RecordChange> changes = new ArrayDeque<>();
  private long characters;
  private Version startExclusive; // the log holds every change after this version

  ChangeLog(int maxChanges, long maxCharacters, Version startExclusive) {
    this.maxChanges = maxChanges;
    this.maxCharacters = maxCharacters;
    this.startExclusive = startExclusive;
  }

  /** Appends the change that follows the last one, and evicts the oldest ones above a bound. */
  void append(RecordChange change) {
    changes.addLast(change);
    characters += change.size();
    while (changes.size() > maxChanges || characters > maxCharacters) {
      RecordChange oldest = changes.removeFirst();
      characters -= oldest.size();
      startExclusive = oldest.version();
    }
  }

  /** Discards all changes; the next one appended must follow this version. */
  void restart(Version version) {
    changes.clear();
    characters = 0;
    startExclusive = version;
  }

  /** Returns whether the log holds every change after this version. */
  boolean containsAllAfter(Version after) {
    return after.incarnation() == startExclusive.incarnation() && !after.isBefore(startExclusive);
  }

  /**
   * Returns the matching changes after a version that the log {@link #containsAllAfter}, in order.
   */
  List<RecordChange> after(Version version, SubscriptionFilter filter) {
    List<RecordChange> found = new ArrayList<>();
    // Iterates from the newest, since a subscriber usually lacks few of many changes.
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

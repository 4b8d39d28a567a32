package shelffront.distribution;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The records of the names that a subscriber follows, as of one version.
 *
 * <p>Invariants, each a {@link Guard}: the version never steps back, and no record does; changes
 * are taken only on top of the version that they follow. What is in force changes by what {@link
 * #apply} and {@link #follow} give, in that order.
 *
 * <p>The set of names has an edition. A distributor answers for the edition that it was given; an
 * answer for another one is of no use, since changes of a name that it does not know of would be
 * missing between two versions.
 *
 * <p>Threads: not safe for several; its owner has a lock.
 */
public final class ReplicatedView {

  /** The rules that keep the view right; tests disable single ones to see that each is missed. */
  enum Guard {
    /** Nothing older than the view is taken. */
    VIEW_NEVER_STEPS_BACK,
    /** Changes are taken only on top of the version that they follow. */
    CHANGES_FOLLOW,
    /** An older state of a record does not replace a newer one. */
    RECORD_NEVER_STEPS_BACK,
    /** What a snapshot does not hold is removed. */
    ABSENT_IS_REMOVED,
    /** An answer for another set of names is not taken. */
    EDITION,
    /** A record that was fetched from a distributor behind this view is not taken. */
    FETCHED_NOT_BEHIND
  }

  private final Set<Guard> guards;
  private final Set<String> names = new HashSet<>();
  private final Map<String, RecordChange> records = new HashMap<>();
  private Version version = Version.NONE;
  private long edition;

  /** A view of nothing, with all guards. */
  public ReplicatedView() {
    this(EnumSet.allOf(Guard.class));
  }

  ReplicatedView(Set<Guard> guards) {
    this.guards = guards;
  }

  /** Begins with what an earlier run had in force. */
  public void restore(Version cachedVersion, Collection<RecordChange> cachedRecords) {
    version = cachedVersion;
    for (RecordChange record : cachedRecords) {
      names.add(record.name());
      records.put(record.name(), record);
    }
  }

  public Version version() {
    return version;
  }

  /** Counts how often names were added to those that distributors are asked to follow. */
  public long edition() {
    return edition;
  }

  public Set<String> names() {
    return Set.copyOf(names);
  }

  public Collection<RecordChange> records() {
    return List.copyOf(records.values());
  }

  /** The record of a name that it follows; null where there is none. */
  public RecordChange record(String name) {
    return records.get(name);
  }

  public boolean follows(String name) {
    return names.contains(name);
  }

  /**
   * Begins to ask for names, from this edition on; each is followed once {@link #follow} was given
   * its record.
   */
  public long beginEdition() {
    return ++edition;
  }

  /**
   * Follows a name, with its record as a distributor had it at a version. False where that
   * distributor is behind this view: changes of the name that this view has passed may be missing,
   * and it has to be fetched again.
   */
  public boolean follow(String name, RecordChange fetched, Version asOf) {
    if (asOf.isBefore(version) && guards.contains(Guard.FETCHED_NOT_BEHIND)) {
      return false;
    }
    names.add(name);
    put(fetched);
    return true;
  }

  /**
   * Follows a name no longer. The edition stays: a distributor that still counts the name among
   * those followed gives more than is wanted, and never less.
   */
  public void unfollow(String name) {
    names.remove(name);
    records.remove(name);
  }

  /**
   * Takes what a distributor gave for an edition of the names, and gives the changes that come into
   * force by it. What does not fit changes nothing and gives nothing.
   */
  public List<RecordChange> apply(Update update, long forEdition) {
    if (!fits(update, forEdition)) {
      return List.of();
    }
    List<RecordChange> inForce = new ArrayList<>();
    if (update instanceof Update.Snapshot snapshot) {
      removeAbsent(snapshot, inForce);
      putAll(snapshot.records(), inForce);
    } else if (update instanceof Update.Changes changes) {
      putAll(changes.changes(), inForce);
    }
    version = update.version();
    return inForce;
  }

  private boolean fits(Update update, long forEdition) {
    if (forEdition != edition && guards.contains(Guard.EDITION)) {
      return false;
    }
    if (update instanceof Update.Changes changes
        && !changes.after().equals(version)
        && guards.contains(Guard.CHANGES_FOLLOW)) {
      return false;
    }
    return !update.version().isBefore(version) || !guards.contains(Guard.VIEW_NEVER_STEPS_BACK);
  }

  private void removeAbsent(Update.Snapshot snapshot, List<RecordChange> inForce) {
    Set<String> present = new HashSet<>();
    snapshot.records().forEach(record -> present.add(record.name()));
    for (RecordChange known : List.copyOf(records.values())) {
      // It may have been fetched from a distributor that is ahead of this snapshot.
      boolean isAhead = snapshot.version().isBefore(known.version());
      if (!present.contains(known.name()) && !isAhead && guards.contains(Guard.ABSENT_IS_REMOVED)) {
        records.remove(known.name());
        inForce.add(new RecordChange(snapshot.version(), known.name(), null));
      }
    }
  }

  private void putAll(List<RecordChange> changes, List<RecordChange> inForce) {
    for (RecordChange change : changes) {
      if (names.contains(change.name()) && put(change)) {
        inForce.add(change);
      }
    }
  }

  private boolean put(RecordChange change) {
    RecordChange known = records.get(change.name());
    if (known != null
        && !known.version().isBefore(change.version())
        && guards.contains(Guard.RECORD_NEVER_STEPS_BACK)) {
      return false;
    }
    if (change.isRemoval()) {
      return records.remove(change.name()) != null;
    }
    records.put(change.name(), change);
    return true;
  }
}

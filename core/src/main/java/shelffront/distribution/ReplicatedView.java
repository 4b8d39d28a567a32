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
 * <p>Invariants, each enforced by a {@link Guard}: neither the version of the view nor that of a
 * record ever decreases, and changes are applied only to the version that they follow. The records
 * in force change only by the changes that {@link #apply} returns and by the records that {@link
 * #follow} accepts, in the order of these calls.
 *
 * <p>The set of names has an edition, and an update is valid only for the edition that the
 * distributor received with the subscription. An update for another edition is discarded, since it
 * may lack changes of a name that the distributor did not know of.
 *
 * <p>Threads: not thread-safe; guarded by its owner's lock.
 */
public final class ReplicatedView {

  /** The rules that keep the view consistent. Tests disable each one and expect a violation. */
  enum Guard {
    /** An update older than the view is discarded. */
    VIEW_VERSION_NEVER_DECREASES,
    /** Changes are applied only to the version that they follow. */
    CHANGES_ARE_CONTIGUOUS,
    /** An older state of a record does not replace a newer one. */
    RECORD_VERSION_NEVER_DECREASES,
    /** A record that is absent from a snapshot is removed. */
    SNAPSHOT_REMOVES_ABSENT,
    /** An update for another edition of the names is discarded. */
    EDITION_MATCHES,
    /** A record fetched from a distributor behind this view is discarded. */
    FETCHED_RECORD_NOT_STALE
  }

  private final Set<Guard> guards;
  private final Set<String> names = new HashSet<>();
  private final Map<String, RecordChange> records = new HashMap<>();
  private Version version = Version.NONE;
  private long edition;

  /** Creates an empty view with all guards enabled. */
  public ReplicatedView() {
    this(EnumSet.allOf(Guard.class));
  }

  ReplicatedView(Set<Guard> guards) {
    this.guards = guards;
  }

  /** Initialises the view from the last known good records of an earlier run. */
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

  /** Returns the edition, which is incremented each time names are added to the subscription. */
  public long edition() {
    return edition;
  }

  public Set<String> names() {
    return Set.copyOf(names);
  }

  public Collection<RecordChange> records() {
    return List.copyOf(records.values());
  }

  /** Returns the record of a followed name, or null if none exists. */
  public RecordChange record(String name) {
    return records.get(name);
  }

  public boolean follows(String name) {
    return names.contains(name);
  }

  /**
   * Starts a new edition because names are being added, and returns it. Each added name is followed
   * once its fetched record was passed to {@link #follow}.
   */
  public long beginEdition() {
    return ++edition;
  }

  /**
   * Starts to follow a name with the record that was fetched from a distributor.
   *
   * @param fetched the fetched record
   * @param asOf the version of the distributor at the fetch
   * @return false if the distributor is behind this view; changes of the name may then be missing,
   *     and the record has to be fetched again
   */
  public boolean follow(String name, RecordChange fetched, Version asOf) {
    if (asOf.isBefore(version) && guards.contains(Guard.FETCHED_RECORD_NOT_STALE)) {
      return false;
    }
    names.add(name);
    put(fetched);
    return true;
  }

  /**
   * Stops following a name. The edition stays the same: a distributor that still includes the name
   * only sends changes that are ignored, and omits none that are needed.
   */
  public void unfollow(String name) {
    names.remove(name);
    records.remove(name);
  }

  /**
   * Applies an update that a distributor sent for an edition of the names, and returns the changes
   * that come into force. An update that violates a guard is discarded and yields an empty list.
   */
  public List<RecordChange> apply(Update update, long forEdition) {
    if (!satisfiesGuards(update, forEdition)) {
      return List.of();
    }
    List<RecordChange> appliedChanges = new ArrayList<>();
    if (update instanceof Update.Snapshot snapshot) {
      removeAbsent(snapshot, appliedChanges);
      putAll(snapshot.records(), appliedChanges);
    } else if (update instanceof Update.Changes changes) {
      putAll(changes.changes(), appliedChanges);
    }
    version = update.version();
    return appliedChanges;
  }

  private boolean satisfiesGuards(Update update, long forEdition) {
    if (forEdition != edition && guards.contains(Guard.EDITION_MATCHES)) {
      return false;
    }
    if (update instanceof Update.Changes changes
        && !changes.after().equals(version)
        && guards.contains(Guard.CHANGES_ARE_CONTIGUOUS)) {
      return false;
    }
    return !update.version().isBefore(version)
        || !guards.contains(Guard.VIEW_VERSION_NEVER_DECREASES);
  }

  private void removeAbsent(Update.Snapshot snapshot, List<RecordChange> appliedChanges) {
    Set<String> present = new HashSet<>();
    snapshot.records().forEach(record -> present.add(record.name()));
    for (RecordChange known : List.copyOf(records.values())) {
      // The record may have been fetched from a distributor that is ahead of this snapshot.
      boolean isAhead = snapshot.version().isBefore(known.version());
      if (!present.contains(known.name())
          && !isAhead
          && guards.contains(Guard.SNAPSHOT_REMOVES_ABSENT)) {
        records.remove(known.name());
        appliedChanges.add(new RecordChange(snapshot.version(), known.name(), null));
      }
    }
  }

  private void putAll(List<RecordChange> changes, List<RecordChange> appliedChanges) {
    for (RecordChange change : changes) {
      if (names.contains(change.name()) && put(change)) {
        appliedChanges.add(change);
      }
    }
  }

  private boolean put(RecordChange change) {
    RecordChange known = records.get(change.name());
    if (known != null
        && !known.version().isBefore(change.version())
        && guards.contains(Guard.RECORD_VERSION_NEVER_DECREASES)) {
      return false;
    }
    if (change.isRemoval()) {
      return records.remove(change.name()) != null;
    }
    records.put(change.name(), change);
    return true;
  }
}

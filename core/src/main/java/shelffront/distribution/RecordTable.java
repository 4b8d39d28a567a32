package shelffront.distribution;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * All records as of one version, with a bounded log of the changes that led to it. Invariants: the
 * version never decreases, and only the latest state of each record is held.
 *
 * <p>Threads: not thread-safe; guarded by its owner's lock.
 */
public final class RecordTable {

  /** The result of applying a change. */
  public enum ApplyResult {
    /** The change was the next one and is in force. */
    APPLIED,
    /** The table is already at the version of the change or at a newer one. */
    ALREADY_KNOWN,
    /** Changes before this one are missing, so a snapshot is required. */
    GAP
  }

  private final Map<String, RecordChange> records = new HashMap<>();
  private final ChangeLog log;
  private Version version = Version.NONE;

  /** Creates an empty table whose change log has these bounds. */
  public RecordTable(int maxLogChanges, long maxLogCharacters) {
    log = new ChangeLog(maxLogChanges, maxLogCharacters, Version.NONE);
  }

  public Version version() {
    return version;
  }

  public int size() {
    return records.size();
  }

  /** Returns the record of a name, or null if none exists. */
  public RecordChange record(String name) {
    return records.get(name);
  }

  /** Applies a change if it directly follows the current version. */
  public ApplyResult apply(RecordChange change) {
    if (!version.isBefore(change.version())) {
      return ApplyResult.ALREADY_KNOWN;
    }
    if (!version.next().equals(change.version())) {
      return ApplyResult.GAP;
    }
    version = change.version();
    log.append(change);
    put(change);
    return ApplyResult.APPLIED;
  }

  /**
   * Replaces all records by a snapshot. Returns false and changes nothing if the snapshot is older
   * than the table. Subscribers at older versions need a snapshot afterwards, because the change
   * log restarts.
   */
  public boolean install(Update.Snapshot snapshot) {
    if (snapshot.version().isBefore(version)) {
      return false;
    }
    version = snapshot.version();
    log.restart(version);
    records.clear();
    snapshot.records().forEach(this::put);
    return true;
  }

  private void put(RecordChange change) {
    if (change.isRemoval()) {
      records.remove(change.name());
    } else {
      records.put(change.name(), change);
    }
  }

  /**
   * Returns the update that brings a subscriber to this table's version, or null if the subscriber
   * is ahead of this table.
   */
  public Update updateFor(Version subscriberVersion, SubscriptionFilter filter) {
    if (version.isBefore(subscriberVersion)) {
      return null;
    }
    return log.containsAllAfter(subscriberVersion)
        ? new Update.Changes(subscriberVersion, version, log.after(subscriberVersion, filter))
        : snapshot(filter);
  }

  /** Returns a snapshot of all records that match the filter. */
  public Update.Snapshot snapshot(SubscriptionFilter filter) {
    List<RecordChange> found = new ArrayList<>();
    if (filter.matchesAll()) {
      found.addAll(records.values());
    } else {
      filter.names().stream().map(records::get).filter(Objects::nonNull).forEach(found::add);
    }
    return new Update.Snapshot(version, found);
  }
}

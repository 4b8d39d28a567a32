package shelffront.distribution;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * All records at one version, and the last changes that led there. Invariants: the version never
 * steps back, and no record's older state is kept.
 *
 * <p>Threads: not safe for several; its owner has a lock.
 */
public final class RecordTable {

  /** What became of a change that was offered. */
  public enum ApplyResult {
    /** It was the next one and is in force. */
    APPLIED,
    /** It stands already, or a newer history does. */
    ALREADY_KNOWN,
    /** Changes before it are missing; only a snapshot helps. */
    GAP
  }

  private final Map<String, RecordChange> records = new HashMap<>();
  private final ChangeLog log;
  private Version version = Version.NONE;

  /** Keeps so many changes of so many characters for subscribers that lag. */
  public RecordTable(int maxLogChanges, long maxLogCharacters) {
    log = new ChangeLog(maxLogChanges, maxLogCharacters, Version.NONE);
  }

  public Version version() {
    return version;
  }

  public int size() {
    return records.size();
  }

  /** The record of a name; null where there is none. */
  public RecordChange record(String name) {
    return records.get(name);
  }

  /** Takes the change that follows the present version. */
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
   * Takes all records as of a version in place of what it has; false, and nothing is changed, where
   * that would be a step back. Subscribers that stand at older versions need a snapshot from here
   * on.
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
   * What a subscriber at a version lacks; null where it is ahead of this table, which then has
   * nothing to say.
   */
  public Update updateFor(Version subscriberVersion, SubscriptionFilter filter) {
    if (version.isBefore(subscriberVersion)) {
      return null;
    }
    return log.reaches(subscriberVersion)
        ? new Update.Changes(subscriberVersion, version, log.after(subscriberVersion, filter))
        : snapshot(filter);
  }

  /** All records that a subscriber follows. */
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

package shelffront.distribution;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** An update that brings a subscriber to a version. Immutable. */
public sealed interface Update {

  /** Returns the version of the subscriber after it applied this update. */
  Version version();

  /**
   * The changes of the followed records, in order.
   *
   * @param after the version that the subscriber must have, exclusive
   * @param version the version after the last change, inclusive
   */
  record Changes(Version after, Version version, List<RecordChange> changes) implements Update {}

  /** All existing records that match the subscription; a followed name not in it has no record. */
  record Snapshot(Version version, List<RecordChange> records) implements Update {

    /**
     * Assembles a consistent snapshot from a store that changes while it is read. The caller reads
     * a first version, then lists the records, then reads the changes since the first version.
     * Without those changes the list would not be a snapshot at the first version: it could hold
     * later changes and lack records that were removed later, so that two snapshots of the same
     * version could differ.
     *
     * @param last the version of the last change, and that of the snapshot
     * @param listed the listed records
     * @param since all changes after the first version up to {@code last}
     */
    public static Snapshot assemble(
        Version last, List<RecordChange> listed, List<RecordChange> since) {
      Map<String, RecordChange> records = new HashMap<>();
      listed.forEach(record -> records.put(record.name(), record));
      for (RecordChange change : since) {
        RecordChange known = records.get(change.name());
        if (known == null || known.version().isBefore(change.version())) {
          records.put(change.name(), change);
        }
      }
      List<RecordChange> present =
          records.values().stream().filter(record -> !record.isRemoval()).toList();
      return new Snapshot(last, present);
    }
  }
}

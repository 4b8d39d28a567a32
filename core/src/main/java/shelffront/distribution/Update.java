package shelffront.distribution;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What a subscriber is given, so that it stands at a version. Immutable. */
public sealed interface Update {

  /** Where whoever takes this stands afterwards. */
  Version version();

  /**
   * The changes after the version where the subscriber stood up to this one, in their order, of
   * what it follows.
   */
  record Changes(Version after, Version version, List<RecordChange> changes) implements Update {}

  /** Every record that there is of what it follows; a name that is not among them has none. */
  record Snapshot(Version version, List<RecordChange> records) implements Update {

    /**
     * From a store that goes on changing while it is read: the records as they were listed after a
     * first version was read, and all changes from that version up to one that was read after the
     * list. Taken for a snapshot at the first version, the list would hold later changes and lack
     * what was removed later, and two such snapshots of one version would differ.
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

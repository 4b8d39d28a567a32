package shelffront.distribution;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What a subscriber is given, so that it stands at a version. */
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
     * From an engine that goes on changing while it is read: the records as they were listed after
     * a first version was read, and all changes from that version up to one that was read after the
     * list. Taken for a snapshot at the first version, the list would hold later changes and lack
     * what was removed later, and two such snapshots of one version would differ.
     */
    public static Snapshot assemble(
        Version last, List<RecordChange> listed, List<RecordChange> since) {
      Map<String, RecordChange> records = new HashMap<>();
      listed.forEach(r -> records.put(r.name(), r));
      for (RecordChange change : since) {
        RecordChange present = records.get(change.name());
        if (present == null || present.version().isBefore(change.version())) {
          records.put(change.name(), change);
        }
      }
      return new Snapshot(last, records.values().stream().filter(r -> !r.isRemoval()).toList());
    }
  }
}

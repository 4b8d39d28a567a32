package shelffront.controlplane;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import shelffront.controlplane.ChangeStoreCodec.LogEntry;
import shelffront.controlplane.DistributionException.EngineSteppedBack;
import shelffront.controlplane.DistributionException.RecordTooLarge;
import shelffront.coordination.CoordinationException;
import shelffront.coordination.CoordinationException.EngineContended;
import shelffront.coordination.CoordinationStore;
import shelffront.coordination.CoordinationStore.Value;
import shelffront.distribution.RecordChange;
import shelffront.distribution.Update;
import shelffront.distribution.Version;

/**
 * The configuration records of a fleet and the log of their changes, kept in the coordination
 * store.
 *
 * <p>Invariants: every change is one transaction that writes the record, its log entry and the head
 * (the current version). The transaction checks the index of the head that it replaces, so changes
 * are totally ordered. The log is a ring of {@value #LOG_SLOTS} keys. A follower watches only the
 * head, which is one small key, and reads the log entries that it is missing. Each entry carries
 * the random id of its predecessor. This chain of ids reveals a store that was restored from older
 * data and then changed, even if its sequence has since passed the versions that were served before
 * the restore.
 *
 * <p>Threads: thread-safe; calls block for a bounded time. After a {@link CoordinationException}
 * the outcome of a call is unknown, except for {@link EngineContended}, which guarantees that
 * nothing was changed.
 */
public final class ChangeStore implements AutoCloseable {

  /**
   * Number of changes that can be read individually; a follower further behind reads all records.
   */
  public static final int LOG_SLOTS = 1024;

  /** Maximum length of a document; Consul limits values to 512 KB and encodes them in base 64. */
  public static final int MAX_DOCUMENT_CHARACTERS = 256 << 10;

  private static final int MAX_ATTEMPTS = 20;
  private static final int MAX_ENTRIES_PER_READ = CoordinationStore.MAX_TRANSACTION_OPERATIONS;

  /**
   * The current version of the change history.
   *
   * @param changeId the id of the last change
   * @param index the index of the head's key
   */
  public record Head(Version version, String changeId, long index) {

    /** The head before the first change. */
    static final Head EMPTY = new Head(Version.NONE, "", 0);
  }

  /** A snapshot and the head at which it is consistent. */
  public record VersionedSnapshot(Update.Snapshot snapshot, Head head) {}

  /** Thrown if a record is not at the version that a change expects. */
  public static final class RecordChanged extends Exception {

    private static final long serialVersionUID = 1L;

    private final transient RecordChange currentRecord;

    RecordChanged(RecordChange currentRecord) {
      super(
          currentRecord == null
              ? "the record does not exist"
              : "the record was changed concurrently, it is now at " + currentRecord.version());
      this.currentRecord = currentRecord;
    }

    /** The current record; null if it does not exist. */
    public RecordChange currentRecord() {
      return currentRecord;
    }
  }

  private final CoordinationStore store;
  private final ChangeStoreCodec codec;

  /** Takes ownership of the coordination store and closes it in {@link #close}. */
  public ChangeStore(CoordinationStore store, String fleet) {
    this.store = store;
    codec = new ChangeStoreCodec(fleet);
  }

  // Reading

  /** Reads the current head; it is empty before the first change. */
  public Head head() throws CoordinationException {
    Value value = store.read(codec.headKey());
    return value == null ? Head.EMPTY : ChangeStoreCodec.parseHead(value);
  }

  /**
   * Waits until the head differs from the given one or the wait time of the store is over, and
   * returns the current head. Returns at once if the given head is the empty one.
   */
  public Head awaitHead(Head known) throws CoordinationException {
    if (known.index() == 0) {
      return head();
    }
    List<Value> values = store.watch(codec.headKey(), known.index()).values();
    return values.isEmpty() ? Head.EMPTY : ChangeStoreCodec.parseHead(values.get(0));
  }

  /**
   * Reads the changes after one head up to another; null if the log no longer reaches back that far
   * or the incarnations differ.
   *
   * @throws EngineSteppedBack if the history of the second head does not continue that of the first
   */
  public List<RecordChange> changesBetween(Head after, Head upTo)
      throws CoordinationException, EngineSteppedBack {
    long missing = upTo.version().sequence() - after.version().sequence();
    if (after.version().incarnation() != upTo.version().incarnation() || missing >= LOG_SLOTS) {
      return null;
    }
    if (missing < 0 || missing == 0 && !after.changeId().equals(upTo.changeId())) {
      throw new EngineSteppedBack(upTo.version(), after.version());
    }
    List<RecordChange> changes = new ArrayList<>();
    String previousId = after.changeId();
    long lastSequence = upTo.version().sequence();
    for (long from = after.version().sequence() + 1;
        from <= lastSequence;
        from += MAX_ENTRIES_PER_READ) {
      long to = Math.min(lastSequence, from + MAX_ENTRIES_PER_READ - 1);
      Map<Long, LogEntry> entries = readEntries(from, to);
      for (long sequence = from; sequence <= to; sequence++) {
        LogEntry entry = entries.get(sequence);
        if (entry == null || !isOfIncarnation(entry, upTo.version())) {
          return null; // overwritten by newer changes while it was read
        }
        if (!entry.previousId().equals(previousId)) {
          throw new EngineSteppedBack(upTo.version(), after.version());
        }
        changes.add(entry.change());
        previousId = entry.id();
      }
    }
    return changes;
  }

  private static boolean isOfIncarnation(LogEntry entry, Version version) {
    return entry.change().version().incarnation() == version.incarnation();
  }

  private Map<Long, LogEntry> readEntries(long from, long to) throws CoordinationException {
    List<String> keys = new ArrayList<>();
    for (long sequence = from; sequence <= to; sequence++) {
      keys.add(codec.logKey(sequence));
    }
    Map<Long, LogEntry> entries = new TreeMap<>();
    for (Value value : store.readAll(keys)) {
      LogEntry entry = ChangeStoreCodec.parseLogEntry(value);
      entries.put(entry.sequence(), entry);
    }
    return entries;
  }

  /**
   * Reads all records as of one head. Reads again if more changes happened during the read than the
   * log holds, or a new incarnation was started.
   */
  public VersionedSnapshot readAll() throws CoordinationException, EngineSteppedBack {
    while (true) {
      Head before = head();
      List<RecordChange> listed = new ArrayList<>();
      for (Value value : store.list(codec.recordPrefix()).values()) {
        listed.add(ChangeStoreCodec.parseRecord(value));
      }
      Head after = head();
      List<RecordChange> since = changesBetween(before, after);
      if (since != null) {
        listed.replaceAll(record -> withIncarnation(after.version().incarnation(), record));
        return new VersionedSnapshot(
            Update.Snapshot.assemble(after.version(), listed, since), after);
      }
    }
  }

  /**
   * Moves a record written by an earlier incarnation into the given one, so that it replaces every
   * state that the earlier incarnation served, even one with a higher sequence.
   */
  private static RecordChange withIncarnation(long incarnation, RecordChange record) {
    return new RecordChange(
        new Version(incarnation, record.version().sequence()), record.name(), record.document());
  }

  /** Reads a record; null if it does not exist. */
  public RecordChange record(String name) throws CoordinationException {
    Value value = store.read(codec.recordKey(name));
    return value == null ? null : ChangeStoreCodec.parseRecord(value);
  }

  // Writing

  /**
   * Writes or removes a record and returns once the store has committed the change.
   *
   * @param expectedSequence the sequence that the current record must have; 0 if it must not exist
   * @param document the new document; null removes the record
   * @param seen the newest version that this process has seen
   * @return the version of the change
   * @throws EngineSteppedBack if the history of the store does not continue the version seen
   */
  public Version write(String name, long expectedSequence, String document, Version seen)
      throws CoordinationException, RecordChanged, EngineSteppedBack, RecordTooLarge {
    if (document != null && document.length() > MAX_DOCUMENT_CHARACTERS) {
      throw new RecordTooLarge(name, document.length());
    }
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      Head head = head();
      if (head.version().isBefore(seen)) {
        throw new EngineSteppedBack(head.version(), seen);
      }
      checkSequence(name, expectedSequence);
      Version next = nextVersion(head);
      RecordChange change = new RecordChange(next, name, document);
      if (store.transact(codec.changeWrites(change, head))) {
        return next;
      }
    }
    throw new EngineContended(name, MAX_ATTEMPTS);
  }

  private void checkSequence(String name, long expectedSequence)
      throws CoordinationException, RecordChanged {
    RecordChange current = record(name);
    long sequence = current == null ? 0 : current.version().sequence();
    if (sequence != expectedSequence) {
      throw new RecordChanged(current);
    }
  }

  private static Version nextVersion(Head head) {
    return head.version().incarnation() == 0
        ? new Version(System.currentTimeMillis(), 1)
        : head.version().next();
  }

  /**
   * Starts a new incarnation after the store was restored from older data: the current contents of
   * the store replace everything that was served before.
   */
  public Version beginIncarnation() throws CoordinationException {
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      Head head = head();
      // Uses the clock rather than a counter because the restored store may have lost earlier
      // incarnations.
      long incarnation = Math.max(head.version().incarnation() + 1, System.currentTimeMillis());
      Version version = new Version(incarnation, head.version().sequence());
      String text = ChangeStoreCodec.newHeadText(version);
      if (store.checkAndSet(codec.headKey(), head.index(), text)) {
        return version;
      }
    }
    throw new EngineContended("head", MAX_ATTEMPTS);
  }

  @Override
  public void close() {
    store.close();
  }
}

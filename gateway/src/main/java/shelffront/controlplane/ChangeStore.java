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
 * The records of a fleet and their history, in the coordination store.
 *
 * <p>Invariants: one transaction writes a record, the log entry of its change and the head, which
 * says where history stands; it names the head that it replaces, so changes have one order. The log
 * is a ring of {@value #LOG_SLOTS} keys. Whoever follows watches the head alone, one small key, and
 * reads the entries that it lacks. Each entry names the one before by its random id: a store that
 * was restored from older data and has gone on from there is known by that, even where its sequence
 * has passed what was given out.
 *
 * <p>Threads: any may call; a call blocks for a bounded time. A {@link CoordinationException} says
 * that nothing is known of the outcome, but for {@link EngineContended}, which changed nothing.
 */
public final class ChangeStore implements AutoCloseable {

  /** Changes that can be read one by one; whoever lacks more reads all records. */
  public static final int LOG_SLOTS = 1024;

  /** Characters of a document; Consul takes values of 512 KB, and holds them in base 64. */
  public static final int MAX_DOCUMENT_CHARACTERS = 256 << 10;

  private static final int MAX_ATTEMPTS = 20;
  private static final int MAX_ENTRIES_PER_READ = CoordinationStore.MAX_TRANSACTION_OPERATIONS;

  /**
   * Where history stands.
   *
   * @param changeId the id of the last change
   * @param index of the head's key
   */
  public record Head(Version version, String changeId, long index) {

    /** Before the first change. */
    static final Head EMPTY = new Head(Version.NONE, "", 0);
  }

  /** A snapshot and the head that it is as of. */
  public record VersionedSnapshot(Update.Snapshot snapshot, Head head) {}

  /** A record that was not at the version that a change was made for. */
  public static final class RecordChanged extends Exception {

    private static final long serialVersionUID = 1L;

    private final transient RecordChange currentRecord;

    RecordChanged(RecordChange currentRecord) {
      super("changed by another");
      this.currentRecord = currentRecord;
    }

    /** As it stands; null where there is none. */
    public RecordChange currentRecord() {
      return currentRecord;
    }
  }

  private final CoordinationStore store;
  private final ChangeStoreCodec codec;

  /** The store is closed with this. */
  public ChangeStore(CoordinationStore store, String fleet) {
    this.store = store;
    codec = new ChangeStoreCodec(fleet);
  }

  // Reading

  /** Where history stands. */
  public Head head() throws CoordinationException {
    Value value = store.read(codec.headKey());
    return value == null ? Head.EMPTY : ChangeStoreCodec.parseHead(value);
  }

  /** The head once it is another than this one, or after a while of the store's choice. */
  public Head awaitHead(Head known) throws CoordinationException {
    if (known.index() == 0) {
      return head();
    }
    List<Value> values = store.watch(codec.headKey(), known.index()).values();
    return values.isEmpty() ? Head.EMPTY : ChangeStoreCodec.parseHead(values.get(0));
  }

  /**
   * The changes between two heads; null where the log no longer reaches back so far.
   *
   * @throws EngineSteppedBack where the second head does not continue the first one's history
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
          return null; // the ring went on meanwhile
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

  /** All records, as of one head; reads again where the log does not reach over the reading. */
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
   * A record that an earlier incarnation wrote belongs to this one, whatever else that one gave
   * out.
   */
  private static RecordChange withIncarnation(long incarnation, RecordChange record) {
    return new RecordChange(
        new Version(incarnation, record.version().sequence()), record.name(), record.document());
  }

  /** A record as it stands; null where there is none. */
  public RecordChange record(String name) throws CoordinationException {
    Value value = store.read(codec.recordKey(name));
    return value == null ? null : ChangeStoreCodec.parseRecord(value);
  }

  // Writing

  /**
   * Puts a document in place of the record that is at a sequence, 0 where there is none; null
   * removes it. Returns when the store has it.
   *
   * @param seen the newest version that this process has seen
   * @throws EngineSteppedBack where the store's history does not continue what was seen
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
      requireSequence(name, expectedSequence);
      Version next = nextVersion(head);
      RecordChange change = new RecordChange(next, name, document);
      if (store.transact(codec.changeWrites(change, head))) {
        return next;
      }
    }
    throw new EngineContended(name, MAX_ATTEMPTS);
  }

  private void requireSequence(String name, long expectedSequence)
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
   * Begins a new incarnation: what the store holds now is the truth, whatever was given out before.
   * For after a restore from older data.
   */
  public Version beginIncarnation() throws CoordinationException {
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      Head head = head();
      // A clock, and no count: the restored store may have forgotten earlier incarnations.
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

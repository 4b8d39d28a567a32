package shelffront.controlplane;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;
import shelffront.controlplane.DistributionException.EngineSteppedBack;
import shelffront.controlplane.DistributionException.RecordTooLarge;
import shelffront.coordination.CoordinationException;
import shelffront.coordination.CoordinationException.EngineGarbled;
import shelffront.coordination.CoordinationStore;
import shelffront.coordination.CoordinationStore.Value;
import shelffront.coordination.CoordinationStore.Write;
import shelffront.coordination.ValueJson;
import shelffront.distribution.RecordChange;
import shelffront.distribution.Update;
import shelffront.distribution.Version;

/**
 * The records and their history in the engine. One transaction writes a record, the log entry of
 * its change and the head, which says where history stands; it names the head that it replaces, so
 * changes have one order. The log is a ring of {@value #LOG_SLOTS} keys. Whoever follows watches
 * the head alone, one small key, and reads the entries that it lacks.
 *
 * <p>Each entry names the one before by its random id. An engine that was restored from older data
 * and has gone on from there is known by that, even where its sequence has passed what was given
 * out.
 */
public final class ChangeStore implements AutoCloseable {

  /** Changes that can be read one by one; whoever lacks more reads all records. */
  public static final int LOG_SLOTS = 1024;

  /** Characters of a document; the engine takes values of 512 KB, and holds them in base 64. */
  public static final int MAX_DOCUMENT_CHARACTERS = 256 << 10;

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int MOST_TRIES = 20;

  /** Where history stands: the last change, and the engine's index of that word. */
  public record Head(Version version, String changeId, long index) {

    /** Before the first change. */
    static final Head EMPTY = new Head(Version.NONE, "", 0);
  }

  /** A change with its id and that of the one before. */
  private record Entry(RecordChange change, String id, String previousId) {}

  /** A record that was not at the version that a change was made for. */
  public static final class RecordChanged extends Exception {

    private static final long serialVersionUID = 1L;

    private final transient RecordChange present;

    RecordChanged(RecordChange present) {
      super("changed by another");
      this.present = present;
    }

    /** As it stands; null where there is none. */
    public RecordChange currentRecord() {
      return present;
    }
  }

  private final CoordinationStore engine;
  private final String headKey;
  private final String logPrefix;
  private final String recordPrefix;

  public ChangeStore(CoordinationStore engine, String fleet) {
    this.engine = engine;
    String prefix = "shelffront/" + fleet + "/config/";
    headKey = prefix + "head";
    logPrefix = prefix + "log/";
    recordPrefix = prefix + "record/";
  }

  // ---- Reading
  // --------------------------------------------------------------------------------

  public Head head() throws CoordinationException {
    Value value = engine.read(headKey);
    return value == null ? Head.EMPTY : head(value);
  }

  /** The head once it is another than this one, or after a while of the engine's choice. */
  public Head awaitHead(Head known) throws CoordinationException {
    if (known.index() == 0) {
      return head();
    }
    CoordinationStore.Listing listing = engine.watch(headKey, known.index());
    return listing.values().isEmpty() ? Head.EMPTY : head(listing.values().get(0));
  }

  /** The changes between two heads; null where the log no longer reaches back so far. */
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
    for (long from = after.version().sequence() + 1;
        from <= upTo.version().sequence();
        from += CoordinationStore.MAX_TRANSACTION_OPERATIONS) {
      long to =
          Math.min(
              upTo.version().sequence(), from + CoordinationStore.MAX_TRANSACTION_OPERATIONS - 1);
      Map<Long, Entry> entries = entries(from, to);
      for (long sequence = from; sequence <= to; sequence++) {
        Entry entry = entries.get(sequence);
        if (entry == null
            || entry.change().version().incarnation() != upTo.version().incarnation()) {
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

  private Map<Long, Entry> entries(long from, long to) throws CoordinationException {
    List<String> keys = new ArrayList<>();
    for (long sequence = from; sequence <= to; sequence++) {
      keys.add(logKey(sequence));
    }
    Map<Long, Entry> entries = new TreeMap<>();
    for (Value value : engine.readAll(keys)) {
      Entry entry = entry(value);
      entries.put(entry.change().version().sequence(), entry);
    }
    return entries;
  }

  /** A snapshot and the head that it is as of. */
  public record VersionedSnapshot(Update.Snapshot snapshot, Head head) {}

  /** All records, as of one head. */
  public VersionedSnapshot readAll() throws CoordinationException, EngineSteppedBack {
    while (true) {
      Head before = head();
      List<RecordChange> listed = new ArrayList<>();
      for (Value value : engine.list(recordPrefix).values()) {
        listed.add(change(value, ValueJson.object(value)));
      }
      Head after = head();
      List<RecordChange> since = changesBetween(before, after);
      if (since != null) {
        listed.replaceAll(r -> within(after.version().incarnation(), r));
        return new VersionedSnapshot(
            Update.Snapshot.assemble(after.version(), listed, since), after);
      }
    }
  }

  /**
   * A record that an earlier incarnation wrote belongs to this one, whatever else that one gave
   * out.
   */
  private static RecordChange within(long incarnation, RecordChange record) {
    return new RecordChange(
        new Version(incarnation, record.version().sequence()), record.name(), record.document());
  }

  /** A record as it stands; null where there is none. */
  public RecordChange record(String name) throws CoordinationException {
    Value value = engine.read(recordPrefix + name);
    return value == null ? null : change(value, ValueJson.object(value));
  }

  // ---- Writing
  // --------------------------------------------------------------------------------

  /**
   * Puts a document in place of the record that is at a sequence, 0 where there is none; null
   * removes it. Answers when the engine has it. Refused where the engine's history does not
   * continue what this process has seen of it.
   *
   * @param seen the newest version that this process has seen
   */
  public Version write(String name, long expectedSequence, String document, Version seen)
      throws CoordinationException, RecordChanged, EngineSteppedBack, RecordTooLarge {
    if (document != null && document.length() > MAX_DOCUMENT_CHARACTERS) {
      throw new RecordTooLarge(name, document.length());
    }
    for (int i = 0; i < MOST_TRIES; i++) {
      Head head = head();
      if (head.version().isBefore(seen)) {
        throw new EngineSteppedBack(head.version(), seen);
      }
      Value record = engine.read(recordPrefix + name);
      RecordChange present = record == null ? null : change(record, ValueJson.object(record));
      if ((present == null ? 0 : present.version().sequence()) != expectedSequence) {
        throw new RecordChanged(present);
      }
      Version next =
          head.version().incarnation() == 0
              ? new Version(System.currentTimeMillis(), 1)
              : head.version().next();
      RecordChange change = new RecordChange(next, name, document);
      if (engine.transact(writes(change, head))) {
        return next;
      }
    }
    throw new CoordinationException.EngineContended(name, MOST_TRIES);
  }

  private List<Write> writes(RecordChange change, Head head) {
    String id = UUID.randomUUID().toString();
    ObjectNode text = version(change.version()).put("name", change.name());
    if (!change.isRemoval()) {
      text.put("document", change.document());
    }
    String record = text.toString();
    String logged = text.put("id", id).put("previous", head.changeId()).toString();
    return List.of(
        new Write(headKey, head.index(), version(change.version()).put("id", id).toString()),
        new Write(
            recordPrefix + change.name(), Write.ANY_INDEX, change.isRemoval() ? null : record),
        new Write(logKey(change.version().sequence()), Write.ANY_INDEX, logged));
  }

  /**
   * Begins a new incarnation: what the engine holds now is the truth, whatever was given out
   * before. For after a restore from older data.
   */
  public Version beginIncarnation() throws CoordinationException {
    for (int i = 0; i < MOST_TRIES; i++) {
      Head head = head();
      // A clock, and no count: the restored engine may have forgotten earlier incarnations.
      long incarnation = Math.max(head.version().incarnation() + 1, System.currentTimeMillis());
      Version version = new Version(incarnation, head.version().sequence());
      String text = version(version).put("id", UUID.randomUUID().toString()).toString();
      if (engine.checkAndSet(headKey, head.index(), text)) {
        return version;
      }
    }
    throw new CoordinationException.EngineContended("head", MOST_TRIES);
  }

  // ---- Texts
  // --------------------------------------------------------------------------------

  private String logKey(long sequence) {
    return logPrefix + String.format(Locale.ROOT, "%04d", sequence % LOG_SLOTS);
  }

  private static ObjectNode version(Version version) {
    return JSON.createObjectNode()
        .put("incarnation", version.incarnation())
        .put("sequence", version.sequence());
  }

  private static Head head(Value value) throws EngineGarbled {
    JsonNode o = ValueJson.object(value);
    return new Head(version(o), o.path("id").asText(), value.index());
  }

  private static Entry entry(Value value) throws EngineGarbled {
    JsonNode o = ValueJson.object(value);
    return new Entry(change(value, o), o.path("id").asText(), o.path("previous").asText());
  }

  private static Version version(JsonNode o) {
    return new Version(o.path("incarnation").asLong(), o.path("sequence").asLong());
  }

  private static RecordChange change(Value value, JsonNode o) throws EngineGarbled {
    if (!o.path("name").isTextual() || !o.path("sequence").isIntegralNumber()) {
      throw new EngineGarbled(value.key() + " is no record: " + value.text(), null);
    }
    return new RecordChange(
        version(o),
        o.path("name").asText(),
        o.has("document") ? o.path("document").asText() : null);
  }

  @Override
  public void close() {
    engine.close();
  }
}

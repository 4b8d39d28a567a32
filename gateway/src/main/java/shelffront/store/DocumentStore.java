package shelffront.store;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.TreeMap;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;
import org.h2.mvstore.MVStoreException;

/**
 * Stores what administrators have set: documents by kind and name, each with the revision of its
 * last change, and an audit entry for each change. Revisions are one increasing sequence for the
 * whole store. Kept in a file (H2's MVStore), or in memory only.
 *
 * <p>A change is one commit, and is on disk when its method returns. Where the commit fails, the
 * change is rolled back and the method throws an {@link MVStoreException}. Any thread may call;
 * calls are serialized.
 */
public final class DocumentStore implements AutoCloseable {

  /** The kinds of documents kept. */
  public enum Kind {
    TENANT,
    TOKEN
  }

  /** A document and the revision of its last change. */
  public record Entry(String name, long revision, JsonNode document) {}

  /** Who changed what, when (Unix milliseconds), from which revision to which; 0 is none. */
  public record AuditEntry(
      long revision,
      long previousRevision,
      long atMillis,
      String actor,
      String action,
      Kind kind,
      String name) {}

  /** The document is not at the revision that the change was made for. */
  public static final class ConflictException extends Exception {

    private static final long serialVersionUID = 1L;

    private final transient Entry present;

    public ConflictException(Entry present) {
      super("changed by another");
      this.present = present;
    }

    /** As it stands now; null where there is none. */
    public Entry present() {
      return present;
    }
  }

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String FORMAT = "shelffront-1";

  /** Audit entries kept; the oldest go first. */
  private static final int MAX_AUDIT_ENTRIES = 100_000;

  private final MVStore store;
  private final MVMap<String, String> documents;
  private final MVMap<Long, String> auditEntries;
  private final MVMap<String, String> metadata;

  private DocumentStore(MVStore store) {
    this.store = store;
    documents = store.openMap("documents");
    auditEntries = store.openMap("audits");
    metadata = store.openMap("about");
  }

  public static DocumentStore inMemory() {
    return new DocumentStore(new MVStore.Builder().autoCommitDisabled().open());
  }

  /**
   * Opens a store, or creates one. A file whose last write is incomplete opens at the last
   * committed change. One that is damaged beyond that, or is no store, is left as it is.
   *
   * @throws IOException where the file can't be opened as a store
   */
  public static DocumentStore open(Path file) throws IOException {
    boolean exists = Files.exists(file) && Files.size(file) > 0;
    try {
      if (exists) {
        // Read through first, and read-only: a file that can't be read must not be written to.
        try (MVStore readOnlyStore =
            new MVStore.Builder().fileName(file.toString()).readOnly().open()) {
          if (!readOnlyStore.hasMap("about")
              || !FORMAT.equals(readOnlyStore.openMap("about").get("format"))) {
            throw new IOException(file + " is not a store of shelffront, or of a later form");
          }
          for (String map : List.of("documents", "audits")) {
            readOnlyStore.openMap(map).forEach((name, text) -> {});
          }
        }
      }
      DocumentStore store =
          new DocumentStore(
              new MVStore.Builder().fileName(file.toString()).autoCommitDisabled().open());
      if (!exists) {
        store.metadata.put("format", FORMAT);
        store.commit();
      }
      return store;
    } catch (MVStoreException e) {
      throw new IOException(file + " can't be read as a store: " + e.getMessage(), e);
    }
  }

  /** The revision of the last change; 0 before the first. */
  public synchronized long revision() {
    Long last = auditEntries.lastKey();
    return last == null ? 0 : last;
  }

  /** A document, or null. */
  public synchronized Entry get(Kind kind, String name) {
    String text = documents.get(key(kind, name));
    return text == null ? null : entry(name, text);
  }

  /** All documents of a kind, by name. */
  public synchronized List<Entry> all(Kind kind) {
    List<Entry> entries = new ArrayList<>();
    String prefix = key(kind, "");
    for (var keys = documents.keyIterator(prefix); keys.hasNext(); ) {
      String key = keys.next();
      if (!key.startsWith(prefix)) {
        break;
      }
      entries.add(entry(key.substring(prefix.length()), documents.get(key)));
    }
    return entries;
  }

  /**
   * Replaces a document.
   *
   * @param expected the revision that it must have now; 0 where there must be none
   * @param document null removes it
   * @param actor who changes it, for the audit entry
   * @param action what is done, for the audit entry
   * @param atMillis time of the audit entry, in Unix milliseconds
   * @return the new revision
   * @throws ConflictException where it has another revision; nothing was changed
   */
  public synchronized long put(
      Kind kind,
      String name,
      long expected,
      JsonNode document,
      String actor,
      String action,
      long atMillis)
      throws ConflictException {
    Entry present = get(kind, name);
    if ((present == null ? 0 : present.revision()) != expected) {
      throw new ConflictException(present);
    }
    long revision = revision() + 1;
    if (document == null) {
      documents.remove(key(kind, name));
    } else {
      documents.put(key(kind, name), revision + " " + document);
    }
    ObjectNode audit =
        JSON.createObjectNode()
            .put("before", expected)
            .put("at", atMillis)
            .put("who", actor)
            .put("what", action)
            .put("kind", kind.name())
            .put("name", name);
    auditEntries.put(revision, audit.toString());
    if (auditEntries.sizeAsLong() > MAX_AUDIT_ENTRIES) {
      auditEntries.remove(auditEntries.firstKey());
    }
    commit();
    return revision;
  }

  /** Audit entries after a revision, oldest first, up to a limit. */
  public synchronized List<AuditEntry> auditEntries(long after, int limit) {
    List<AuditEntry> found = new ArrayList<>();
    for (var keys = auditEntries.keyIterator(after + 1); keys.hasNext() && found.size() < limit; ) {
      long revision = keys.next();
      JsonNode stored = json(auditEntries.get(revision));
      found.add(
          new AuditEntry(
              revision,
              stored.path("before").asLong(),
              stored.path("at").asLong(),
              stored.path("who").asText(),
              stored.path("what").asText(),
              Kind.valueOf(stored.path("kind").asText()),
              stored.path("name").asText()));
    }
    return found;
  }

  /** Everything but the audit log, as one document. Tokens are in it as hashes only. */
  public synchronized ObjectNode export() {
    ObjectNode all = JSON.createObjectNode().put("format", FORMAT).put("revision", revision());
    for (Kind kind : Kind.values()) {
      ObjectNode documentsByName = all.putObject(kind.name().toLowerCase(Locale.ROOT));
      all(kind).forEach(entry -> documentsByName.set(entry.name(), entry.document()));
    }
    return all;
  }

  /**
   * Imports all documents of an export, replacing those of the same names; each is a change of its
   * own.
   *
   * @return how many documents were imported
   */
  public synchronized int importAll(JsonNode exported, String actor, long atMillis)
      throws IOException {
    if (!FORMAT.equals(exported.path("format").asText())) {
      throw new IOException("not an export of shelffront");
    }
    int count = 0;
    for (Kind kind : Kind.values()) {
      TreeMap<String, JsonNode> documentsByName = new TreeMap<>();
      exported
          .path(kind.name().toLowerCase(Locale.ROOT))
          .fields()
          .forEachRemaining(field -> documentsByName.put(field.getKey(), field.getValue()));
      for (var each : documentsByName.entrySet()) {
        Entry present = get(kind, each.getKey());
        try {
          put(
              kind,
              each.getKey(),
              present == null ? 0 : present.revision(),
              each.getValue(),
              actor,
              "import",
              atMillis);
        } catch (ConflictException e) {
          throw new IllegalStateException("nobody else has the store meanwhile", e);
        }
        count++;
      }
    }
    return count;
  }

  /**
   * Writes the pending changes to disk; rolls them back where that fails, so that reads never see
   * what is not on disk.
   */
  private void commit() {
    try {
      store.commit();
      store.sync();
    } catch (MVStoreException e) {
      store.rollback();
      throw e;
    }
  }

  private static String key(Kind kind, String name) {
    return kind.name() + "/" + name;
  }

  private static Entry entry(String name, String text) {
    int space = text.indexOf(' ');
    return new Entry(
        name, Long.parseLong(text.substring(0, space)), json(text.substring(space + 1)));
  }

  private static JsonNode json(String text) {
    try {
      return JSON.readTree(text);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("the store holds what is no JSON", e);
    }
  }

  @Override
  public synchronized void close() {
    store.close();
  }
}

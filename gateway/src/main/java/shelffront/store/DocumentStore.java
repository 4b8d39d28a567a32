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
 * Stores tenants and administration tokens: documents by kind and name, each with the revision of
 * its last change, and an audit entry for each change. Revisions form one increasing sequence for
 * the whole store. The store is kept in a file (H2's MVStore) or in memory only.
 *
 * <p>Each change is one commit and is on disk when its method returns. If the commit fails, the
 * change is rolled back and the method throws an {@link MVStoreException}. Thread-safe; calls are
 * serialized.
 */
public final class DocumentStore implements AutoCloseable {

  /** The kinds of stored documents. */
  public enum Kind {
    TENANT,
    TOKEN
  }

  /** A document and the revision of its last change. */
  public record Entry(String name, long revision, JsonNode document) {}

  /**
   * The record of one change.
   *
   * @param revision revision that the change created
   * @param previousRevision revision of the document before the change; 0 if it did not exist
   * @param atMillis time of the change, in Unix milliseconds
   */
  public record AuditEntry(
      long revision,
      long previousRevision,
      long atMillis,
      String actor,
      String action,
      Kind kind,
      String name) {}

  /** The document does not have the revision that the change expects. */
  public static final class ConflictException extends Exception {

    private static final long serialVersionUID = 1L;

    private final transient Entry present;

    /** Takes the present document; null if it does not exist. */
    public ConflictException(Entry present) {
      super(
          present == null
              ? "document does not exist"
              : "document was changed concurrently: its revision is " + present.revision());
      this.present = present;
    }

    /** Returns the present document; null if it does not exist. */
    public Entry currentEntry() {
      return present;
    }
  }

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String FORMAT = "shelffront-1";

  /** Maximum number of audit entries; the oldest are deleted first. */
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
   * Opens a store, or creates it if the file is missing or empty. After a torn write the store
   * opens at the last committed change. A file with other damage, or that is not a store, is not
   * modified.
   *
   * @throws IOException if the file cannot be opened as a store
   */
  public static DocumentStore open(Path file) throws IOException {
    boolean exists = Files.exists(file) && Files.size(file) > 0;
    try {
      if (exists) {
        // Reads the whole file in read-only mode first, since a file that cannot be read must not
        // be
        // modified.
        try (MVStore readOnlyStore =
            new MVStore.Builder().fileName(file.toString()).readOnly().open()) {
          if (!readOnlyStore.hasMap("about")
              || !FORMAT.equals(readOnlyStore.openMap("about").get("format"))) {
            throw new IOException(
                file
                    + " is not a document store of format "
                    + FORMAT
                    + "; it may have been written by a later version");
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
      throw new IOException(file + " cannot be opened as a document store: " + e.getMessage(), e);
    }
  }

  /** Returns the revision of the last change; 0 before the first change. */
  public synchronized long revision() {
    Long last = auditEntries.lastKey();
    return last == null ? 0 : last;
  }

  /** Returns a document, or null if it does not exist. */
  public synchronized Entry get(Kind kind, String name) {
    String text = documents.get(key(kind, name));
    return text == null ? null : entry(name, text);
  }

  /** Returns all documents of a kind, sorted by name. */
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
   * Creates, replaces or removes a document.
   *
   * @param expected revision that the document must have; 0 if it must not exist
   * @param document new content; null removes the document
   * @param actor who makes the change, for the audit entry
   * @param action name of the change, for the audit entry
   * @param atMillis time of the audit entry, in Unix milliseconds
   * @return the new revision
   * @throws ConflictException if the document has another revision; the store is unchanged
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
    Entry current = get(kind, name);
    if ((current == null ? 0 : current.revision()) != expected) {
      throw new ConflictException(current);
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

  /** Returns at most {@code limit} audit entries after a revision, oldest first. */
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

  /**
   * Exports all documents as one JSON object, without the audit log. Tokens are exported as hashes
   * only.
   */
  public synchronized ObjectNode export() {
    ObjectNode all = JSON.createObjectNode().put("format", FORMAT).put("revision", revision());
    for (Kind kind : Kind.values()) {
      ObjectNode documentsByName = all.putObject(kind.name().toLowerCase(Locale.ROOT));
      all(kind).forEach(entry -> documentsByName.set(entry.name(), entry.document()));
    }
    return all;
  }

  /**
   * Imports all documents of an export. A document replaces the stored one of the same kind and
   * name. Each document is a separate change, so a failed commit leaves the earlier ones imported.
   *
   * @return number of imported documents
   * @throws IOException if the JSON object is not an export
   */
  public synchronized int importAll(JsonNode exported, String actor, long atMillis)
      throws IOException {
    if (!FORMAT.equals(exported.path("format").asText())) {
      throw new IOException(
          "not an export of a document store: format is \""
              + exported.path("format").asText()
              + "\", expected \""
              + FORMAT
              + "\"");
    }
    int count = 0;
    for (Kind kind : Kind.values()) {
      TreeMap<String, JsonNode> documentsByName = new TreeMap<>();
      exported
          .path(kind.name().toLowerCase(Locale.ROOT))
          .fields()
          .forEachRemaining(child -> documentsByName.put(child.getKey(), child.getValue()));
      for (var field : documentsByName.entrySet()) {
        Entry current = get(kind, field.getKey());
        try {
          put(
              kind,
              field.getKey(),
              current == null ? 0 : current.revision(),
              field.getValue(),
              actor,
              "import",
              atMillis);
        } catch (ConflictException e) {
          throw new IllegalStateException(
              "document changed while the import held the store's lock", e);
        }
        count++;
      }
    }
    return count;
  }

  /**
   * Writes the pending changes to disk. If that fails, rolls them back, so that reads never return
   * data that is not on disk.
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
      throw new IllegalStateException("stored document or audit entry is not valid JSON", e);
    }
  }

  @Override
  public synchronized void close() {
    store.close();
  }
}

package shelffront.admin;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import shelffront.coordination.OperatorException;
import shelffront.store.DocumentStore;
import shelffront.store.DocumentStore.AuditEntry;
import shelffront.store.DocumentStore.ConflictException;
import shelffront.store.DocumentStore.Entry;
import shelffront.store.DocumentStore.Kind;

/**
 * Where the documents of tenants are kept, and changed one at a time by check-and-set. Any thread
 * may call.
 */
public interface TenantDocuments {

  /** Null where there is none. */
  Entry get(String id) throws OperatorException;

  List<Entry> all() throws OperatorException;

  /**
   * Puts a document in place of the one at a revision, 0 for none; null removes it. Gives the new
   * revision.
   */
  long put(String id, long expected, JsonNode document, String actor, String action, long atMillis)
      throws ConflictException, OperatorException;

  /** The newest revision that this gateway knows of. */
  long revision();

  /** Changes after a revision that were made here, oldest first, at most so many. */
  List<AuditEntry> auditEntries(long after, int limit);

  /**
   * Whether whoever makes a change has to put it in force too; else it comes back, as from any
   * other gateway.
   */
  boolean isPutInForceByCaller();

  /** Those of this gateway alone, in its store. */
  static TenantDocuments in(DocumentStore store) {
    return new TenantDocuments() {
      @Override
      public Entry get(String id) {
        return store.get(Kind.TENANT, id);
      }

      @Override
      public List<Entry> all() {
        return store.all(Kind.TENANT);
      }

      @Override
      public long put(
          String id, long expected, JsonNode document, String actor, String action, long atMillis)
          throws ConflictException {
        return store.put(Kind.TENANT, id, expected, document, actor, action, atMillis);
      }

      @Override
      public long revision() {
        return store.revision();
      }

      @Override
      public List<AuditEntry> auditEntries(long after, int limit) {
        return store.auditEntries(after, limit);
      }

      @Override
      public boolean isPutInForceByCaller() {
        return true;
      }
    };
  }
}

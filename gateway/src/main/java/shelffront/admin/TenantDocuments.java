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
 * The stored documents of tenants, each changed by check-and-set on its revision. Any thread may
 * call.
 */
public interface TenantDocuments {

  /** Returns a tenant's entry, or null if there is no such tenant. */
  Entry get(String id) throws OperatorException;

  List<Entry> all() throws OperatorException;

  /**
   * Replaces the document at the expected revision, which is 0 if there must not be one; a null
   * document removes it. Returns the new revision.
   */
  long put(String id, long expected, JsonNode document, String actor, String action, long atMillis)
      throws ConflictException, OperatorException;

  /** Returns the newest revision that this gateway knows. */
  long revision();

  /** Returns up to {@code limit} changes that this gateway made after a revision, oldest first. */
  List<AuditEntry> auditEntries(long after, int limit);

  /**
   * Whether the caller of {@link #put} must also apply the change to the running gateway. If false,
   * the change arrives through distribution, as those of other gateways do.
   */
  boolean isAppliedByCaller();

  /** Returns the documents of a single gateway, kept in its store. */
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
      public boolean isAppliedByCaller() {
        return true;
      }
    };
  }
}

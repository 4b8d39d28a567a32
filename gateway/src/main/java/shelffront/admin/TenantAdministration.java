package shelffront.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import shelffront.coordination.OperatorException;
import shelffront.store.DocumentStore;
import shelffront.store.DocumentStore.AuditEntry;
import shelffront.store.DocumentStore.ConflictException;
import shelffront.store.DocumentStore.Entry;
import shelffront.store.DocumentStore.Kind;
import shelffront.tenant.ApiKeys;
import shelffront.tenant.Tenant;
import shelffront.tenant.TenantSpec;
import shelffront.tenant.TenantSpecCodec;
import shelffront.tenant.TenantSpecCodec.SpecException;

/**
 * Tenants as administrators change them: first in the store, then in the running gateway, in the
 * order of revisions. Remembers which changes are in force. Any thread may call.
 */
public final class TenantAdministration {

  /** The running gateway; each call is carried out later, in the order of the calls. */
  public interface TenantControl {

    void apply(TenantSpec spec, LongConsumer inForce);

    void remove(String id, LongConsumer gone);

    /** Null where the gateway runs no such tenant. */
    CompletableFuture<Tenant.Usage> usage(String id);
  }

  private static final int MAX_REMEMBERED_CHANGES = 10_000; // Changes whose time in force is known.

  private final TenantDocuments documents;
  private final TenantControl control;
  private final LongSupplier clock;
  private final Map<Long, Long> inForceAtMillis = new LinkedHashMap<>();
  private volatile long startRevision; // the revision that the gateway began with
  private volatile long startedAtMillis;

  /** The clock gives Unix milliseconds. */
  public TenantAdministration(DocumentStore store, TenantControl control, LongSupplier clock) {
    this(TenantDocuments.in(store), control, clock);
  }

  /** Of a gateway whose tenants may be those of a whole fleet. */
  public TenantAdministration(TenantDocuments records, TenantControl control, LongSupplier clock) {
    this.documents = records;
    this.control = control;
    this.clock = clock;
  }

  /** Puts all tenants of the gateway's own records into it, at its start. */
  public void start() throws SpecException, OperatorException {
    startRevision = documents.revision();
    startedAtMillis = clock.getAsLong();
    if (documents.isPutInForceByCaller()) {
      for (Entry entry : documents.all()) {
        control.apply(TenantSpecCodec.read(entry.document()), atMicros -> {});
      }
    }
  }

  /** The newest revision that this gateway knows of. */
  public long revision() {
    return documents.revision();
  }

  public Entry get(String id) throws OperatorException {
    return documents.get(id);
  }

  public List<Entry> all() throws OperatorException {
    return documents.all();
  }

  /** Puts a tenant in place of the one at a revision, 0 for none; gives the new revision. */
  public long put(String id, long expected, JsonNode document, String actor, String action)
      throws SpecException, ConflictException, OperatorException {
    TenantSpec spec = TenantSpecCodec.read(document);
    if (!spec.id().equals(id)) {
      throw new SpecException("/id", "is not the name in the path");
    }
    synchronized (this) { // the gateway is told in the order of revisions
      long revision = documents.put(id, expected, document, actor, action, clock.getAsLong());
      if (documents.isPutInForceByCaller()) {
        control.apply(spec, atMicros -> recordInForce(revision, atMicros));
      }
      return revision;
    }
  }

  public long remove(String id, long expected, String actor)
      throws ConflictException, OperatorException {
    synchronized (this) {
      long revision = documents.put(id, expected, null, actor, "remove", clock.getAsLong());
      if (documents.isPutInForceByCaller()) {
        control.remove(id, atMicros -> recordInForce(revision, atMicros));
      }
      return revision;
    }
  }

  /**
   * Drains a box of a tenant or ends its drain; gives the tenant's revision, 0 where there is no
   * such tenant.
   */
  public long drain(String id, String endpointId, boolean drain, String actor)
      throws SpecException, ConflictException, OperatorException {
    synchronized (this) {
      Entry entry = get(id);
      if (entry == null) {
        return 0;
      }
      TreeSet<String> drained = new TreeSet<>();
      entry.document().path("drained").forEach(endpoint -> drained.add(endpoint.asText()));
      if (drain ? !drained.add(endpointId) : !drained.remove(endpointId)) {
        return entry.revision();
      }
      ObjectNode next = entry.document().deepCopy();
      ArrayNode list = next.putArray("drained");
      drained.forEach(list::add);
      return put(id, entry.revision(), next, actor, (drain ? "drain " : "undrain ") + endpointId);
    }
  }

  /** A key that has been made: the answer is the only place it is in. */
  public record CreatedKey(String id, String key, long revision) {}

  /**
   * Makes a key for a user of a tenant; those that the user has stay. Null where there is no such
   * tenant.
   */
  public CreatedKey createKey(String tenant, String user, String actor)
      throws SpecException, ConflictException, OperatorException {
    synchronized (this) {
      Entry entry = get(tenant);
      if (entry == null) {
        return null;
      }
      String key = ApiKeys.generate();
      String hash = HexFormat.of().formatHex(ApiKeys.hash(key));
      ObjectNode next = entry.document().deepCopy();
      next.withArray("/credentials").addObject().put("user", user).put("sha256", hash);
      String id = keyId(hash);
      return new CreatedKey(id, key, put(tenant, entry.revision(), next, actor, "new key " + id));
    }
  }

  /** Ends a key; gives the tenant's revision, 0 where there is no such tenant or key. */
  public long revokeKey(String tenant, String key, String actor)
      throws SpecException, ConflictException, OperatorException {
    synchronized (this) {
      Entry entry = get(tenant);
      ObjectNode next = entry == null ? null : entry.document().deepCopy();
      ArrayNode kept = TenantSpecCodec.JSON.createArrayNode();
      JsonNode credentials = next == null ? kept : next.path("credentials");
      for (JsonNode credential : credentials) {
        if (!keyId(credential.path("sha256").asText()).equals(key)) {
          kept.add(credential);
        }
      }
      if (kept.size() == credentials.size()) {
        return 0;
      }
      // Without any credential a tenant admits everybody: the last key's end must not open it.
      if (kept.isEmpty()) {
        throw new SpecException(
            "/credentials", "the last key can't be ended: without one everybody is let in");
      }
      next.set("credentials", kept);
      return put(tenant, entry.revision(), next, actor, "end key " + key);
    }
  }

  /** By which a key is named: the beginning of its hash, which tells nothing of the key. */
  static String keyId(String sha256) {
    return sha256.substring(0, 12).toLowerCase(Locale.ROOT);
  }

  public CompletableFuture<Tenant.Usage> usage(String id) {
    return control.usage(id);
  }

  /** Every change up to a revision is in force here, where changes come back distributed. */
  public void recordInForceUpTo(long revision) {
    long atMicros = clock.getAsLong() * 1000;
    for (AuditEntry entry : documents.auditEntries(0, MAX_REMEMBERED_CHANGES)) {
      if (entry.revision() <= revision && inForceAtMillis(entry.revision()) == 0) {
        recordInForce(entry.revision(), atMicros);
      }
    }
  }

  private void recordInForce(long revision, long atMicros) {
    synchronized (inForceAtMillis) {
      inForceAtMillis.put(revision, atMicros / 1000);
      if (inForceAtMillis.size() > MAX_REMEMBERED_CHANGES) {
        inForceAtMillis.remove(inForceAtMillis.keySet().iterator().next());
      }
      inForceAtMillis.notifyAll();
    }
  }

  /**
   * Changes of tenants after a revision, oldest first, whether or not they are in force yet; waits
   * as long as given until one of them is.
   */
  public List<AuditEntry> changes(long after, long waitMillis, String onlyTenant)
      throws InterruptedException {
    long deadlineNanos = System.nanoTime() + waitMillis * 1_000_000;
    synchronized (inForceAtMillis) {
      while (true) {
        List<AuditEntry> found =
            documents.auditEntries(after, 1000).stream()
                .filter(
                    change ->
                        change.kind() == Kind.TENANT
                            && (onlyTenant == null || change.name().equals(onlyTenant)))
                .toList();
        long leftMillis = (deadlineNanos - System.nanoTime()) / 1_000_000;
        if (leftMillis <= 0
            || found.stream().anyMatch(change -> inForceAtMillis(change.revision()) > 0)) {
          return found;
        }
        inForceAtMillis.wait(leftMillis);
      }
    }
  }

  /**
   * When a change came into force, or the gateway started with it, in Unix milliseconds; 0 if it is
   * not yet.
   */
  public long inForceAtMillis(long revision) {
    synchronized (inForceAtMillis) {
      return inForceAtMillis.getOrDefault(
          revision, revision <= startRevision ? startedAtMillis : 0);
    }
  }
}

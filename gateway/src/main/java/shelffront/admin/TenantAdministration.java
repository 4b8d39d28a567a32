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
 * Executes administrators' changes of tenants: first in the store, then in the running gateway, in
 * the order of revisions. Records when each change came into force. Any thread may call.
 */
public final class TenantAdministration {

  /**
   * Applies changes to the running gateway. Calls return immediately and are executed in call
   * order. The callbacks receive the time in Unix microseconds; they may run on any thread.
   */
  public interface TenantControl {

    void apply(TenantSpec spec, LongConsumer onInForce);

    void remove(String id, LongConsumer onRemoved);

    /** The future completes with null if the gateway does not run such a tenant. */
    CompletableFuture<Tenant.Usage> usage(String id);
  }

  /** Changes whose time in force is kept; the oldest are evicted. */
  private static final int MAX_REMEMBERED_CHANGES = 10_000;

  private final TenantDocuments documents;
  private final TenantControl control;
  private final LongSupplier clock;
  private final Map<Long, Long> inForceAtMillis = new LinkedHashMap<>();
  private volatile long startRevision; // newest revision at the gateway's start
  private volatile long startedAtMillis;

  /** Administers the tenants in a store; the clock returns Unix time in milliseconds. */
  public TenantAdministration(DocumentStore store, TenantControl control, LongSupplier clock) {
    this(TenantDocuments.in(store), control, clock);
  }

  /**
   * Administers the tenants of one gateway or of a fleet; the clock returns Unix time in
   * milliseconds.
   */
  public TenantAdministration(TenantDocuments records, TenantControl control, LongSupplier clock) {
    this.documents = records;
    this.control = control;
    this.clock = clock;
  }

  /**
   * Applies all stored tenants when the gateway starts. Tenants of a fleet are not applied here,
   * because they arrive through distribution.
   */
  public void start() throws SpecException, OperatorException {
    startRevision = documents.revision();
    startedAtMillis = clock.getAsLong();
    if (documents.isAppliedByCaller()) {
      for (Entry entry : documents.all()) {
        control.apply(TenantSpecCodec.read(entry.document()), atMicros -> {});
      }
    }
  }

  /** Returns the newest revision that this gateway knows. */
  public long revision() {
    return documents.revision();
  }

  public Entry get(String id) throws OperatorException {
    return documents.get(id);
  }

  public List<Entry> all() throws OperatorException {
    return documents.all();
  }

  /**
   * Replaces the tenant document at the expected revision, or creates the tenant if that is 0.
   * Returns the new revision.
   */
  public long put(String id, long expected, JsonNode document, String actor, String action)
      throws SpecException, ConflictException, OperatorException {
    TenantSpec spec = TenantSpecCodec.read(document);
    if (!spec.id().equals(id)) {
      throw new SpecException("/id", "is " + spec.id() + ", but the path names tenant " + id);
    }
    synchronized (this) { // applies changes in the order of revisions
      long revision = documents.put(id, expected, document, actor, action, clock.getAsLong());
      if (documents.isAppliedByCaller()) {
        control.apply(spec, atMicros -> recordInForce(revision, atMicros));
      }
      return revision;
    }
  }

  public long remove(String id, long expected, String actor)
      throws ConflictException, OperatorException {
    synchronized (this) {
      long revision = documents.put(id, expected, null, actor, "remove", clock.getAsLong());
      if (documents.isAppliedByCaller()) {
        control.remove(id, atMicros -> recordInForce(revision, atMicros));
      }
      return revision;
    }
  }

  /**
   * Starts or ends the drain of an endpoint of a tenant. Returns the tenant's revision, or 0 if
   * there is no such tenant. Nothing is written if the endpoint already is in the requested state.
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

  /** A new key with its identifier. The key itself is not stored and cannot be read again. */
  public record CreatedKey(String id, String key, long revision) {}

  /**
   * Creates a key for a user of a tenant. Existing keys of the user stay valid. Returns null if
   * there is no such tenant.
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

  /**
   * Revokes a key. Returns the tenant's revision, or 0 if there is no such tenant or key.
   *
   * @throws SpecException if it is the tenant's last key
   */
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
      // A tenant without credentials admits every client, so the last key cannot be revoked.
      if (kept.isEmpty()) {
        throw new SpecException(
            "/credentials",
            "the last key cannot be revoked: a tenant without keys admits every client");
      }
      next.set("credentials", kept);
      return put(tenant, entry.revision(), next, actor, "end key " + key);
    }
  }

  /** Returns the identifier of a key: a prefix of its hash, which does not reveal the key. */
  static String keyId(String sha256) {
    return sha256.substring(0, 12).toLowerCase(Locale.ROOT);
  }

  public CompletableFuture<Tenant.Usage> usage(String id) {
    return control.usage(id);
  }

  /** Records that every distributed change up to a revision is in force in this gateway. */
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
   * Returns up to 1000 changes of tenants after a revision, oldest first, including those that are
   * not in force yet. Waits for up to {@code waitMillis} until at least one of them is in force.
   *
   * @param onlyTenant restricts the result to one tenant; null for all
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
   * Returns when a change came into force, in Unix milliseconds, or 0 if it is not in force yet.
   * For a change that is older than the gateway's start, this is the time of the start.
   */
  public long inForceAtMillis(long revision) {
    synchronized (inForceAtMillis) {
      return inForceAtMillis.getOrDefault(
          revision, revision <= startRevision ? startedAtMillis : 0);
    }
  }
}

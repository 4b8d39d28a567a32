package shelffront.multitenant;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import shelffront.admin.TenantDocuments;
import shelffront.controlplane.ChangeStore;
import shelffront.controlplane.ChangeStore.RecordChanged;
import shelffront.controlplane.DistributionException.NoEngine;
import shelffront.controlplane.SubscribedRecords;
import shelffront.coordination.OperatorException;
import shelffront.distribution.RecordChange;
import shelffront.distribution.Version;
import shelffront.store.DocumentStore.AuditEntry;
import shelffront.store.DocumentStore.ConflictException;
import shelffront.store.DocumentStore.Entry;
import shelffront.store.DocumentStore.Kind;
import shelffront.tenant.TenantSpecCodec;
import shelffront.tenant.TenantSpecCodec.SpecException;

/**
 * The tenant documents of a fleet, kept in its coordination store. A confirmed change is stored
 * there and reaches this gateway, like all others, by distribution. Any thread may call; calls
 * block on the coordination store.
 */
final class FleetTenantDocuments implements TenantDocuments {

  /** Prefix of the record name of a tenant, followed by its id. */
  static final String PREFIX = "tenant/";

  private static final int MAX_AUDIT_ENTRIES = 10_000;

  private final ChangeStore engine; // null if this gateway has no access to it
  private final SubscribedRecords records;
  private final ArrayDeque<AuditEntry> auditEntries = new ArrayDeque<>();

  FleetTenantDocuments(ChangeStore engine, SubscribedRecords records) {
    this.engine = engine;
    this.records = records;
  }

  private ChangeStore engine() throws NoEngine {
    if (engine == null) {
      throw new NoEngine();
    }
    return engine;
  }

  private static Entry entry(RecordChange record) {
    try {
      return new Entry(
          record.name().substring(PREFIX.length()),
          record.version().sequence(),
          TenantSpecCodec.parse(record.document().getBytes(UTF_8)));
    } catch (SpecException e) {
      throw new IllegalStateException(
          "record " + record.name() + " in the coordination store is not a JSON object", e);
    }
  }

  @Override
  public Entry get(String id) throws OperatorException {
    RecordChange record = engine().record(PREFIX + id);
    return record == null ? null : entry(record);
  }

  @Override
  public List<Entry> all() throws OperatorException {
    return engine().readAll().snapshot().records().stream()
        .filter(record -> record.name().startsWith(PREFIX))
        .map(FleetTenantDocuments::entry)
        .toList();
  }

  @Override
  public long put(
      String id, long expected, JsonNode document, String actor, String action, long atMillis)
      throws ConflictException, OperatorException {
    try {
      Version version =
          engine()
              .write(
                  PREFIX + id,
                  expected,
                  document == null ? null : document.toString(),
                  records.version());
      synchronized (auditEntries) {
        auditEntries.addLast(
            new AuditEntry(version.sequence(), expected, atMillis, actor, action, Kind.TENANT, id));
        if (auditEntries.size() > MAX_AUDIT_ENTRIES) {
          auditEntries.removeFirst();
        }
      }
      return version.sequence();
    } catch (RecordChanged e) {
      throw new ConflictException(e.currentRecord() == null ? null : entry(e.currentRecord()));
    }
  }

  @Override
  public long revision() {
    return records.version().sequence();
  }

  @Override
  public List<AuditEntry> auditEntries(long after, int limit) {
    synchronized (auditEntries) {
      return new ArrayList<>(
          auditEntries.stream().filter(change -> change.revision() > after).limit(limit).toList());
    }
  }

  @Override
  public boolean isPutInForceByCaller() {
    return false;
  }
}

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
  static final String RECORD_NAME_PREFIX = "tenant/";

  private static final int MAX_AUDIT_ENTRIES = 10_000;

  private final ChangeStore changeStore; // null if this gateway has no access to it
  private final SubscribedRecords records;
  private final ArrayDeque<AuditEntry> auditEntries = new ArrayDeque<>();

  FleetTenantDocuments(ChangeStore changeStore, SubscribedRecords records) {
    this.changeStore = changeStore;
    this.records = records;
  }

  private ChangeStore changeStore() throws NoEngine {
    if (changeStore == null) {
      throw new NoEngine();
    }
    return changeStore;
  }

  private static Entry entry(RecordChange record) {
    try {
      return new Entry(
          record.name().substring(RECORD_NAME_PREFIX.length()),
          record.version().sequence(),
          TenantSpecCodec.parse(record.document().getBytes(UTF_8)));
    } catch (SpecException e) {
      throw new IllegalStateException(
          "record " + record.name() + " in the coordination store is not a JSON object", e);
    }
  }

  @Override
  public Entry get(String id) throws OperatorException {
    RecordChange record = changeStore().record(RECORD_NAME_PREFIX + id);
    return record == null ? null : entry(record);
  }

  @Override
  public List<Entry> all() throws OperatorException {
    return changeStore().readAll().snapshot().records().stream()
        .filter(record -> record.name().startsWith(RECORD_NAME_PREFIX))
        .map(FleetTenantDocuments::entry)
        .toList();
  }

  @Override
  public long put(
      String id, long expected, JsonNode document, String actor, String action, long atMillis)
      throws ConflictException, OperatorException {
    try {
      Version version =
          changeStore()
              .write(
                  RECORD_NAME_PREFIX + id,
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
  public boolean isAppliedByCaller() {
    return false;
  }
}

package shelffront.hosted;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import shelffront.admin.TenantRecords;
import shelffront.distribution.Change;
import shelffront.distribution.Version;
import shelffront.engine.OperatorException;
import shelffront.fleetconfig.ChangeStore;
import shelffront.fleetconfig.ChangeStore.RecordChanged;
import shelffront.fleetconfig.DistributionException.NoEngine;
import shelffront.fleetconfig.FleetRecords;
import shelffront.store.Store.Audit;
import shelffront.store.Store.ConflictException;
import shelffront.store.Store.Entry;
import shelffront.store.Store.Kind;
import shelffront.tenant.SpecJson;
import shelffront.tenant.SpecJson.SpecException;

/**
 * The tenants of a whole fleet, in its engine: a change that was answered is the engine's, and
 * comes back distributed.
 */
final class FleetTenantRecords implements TenantRecords {

  /** Before the id of a tenant, in the names of records. */
  static final String PREFIX = "tenant/";

  private static final int MOST_AUDITS = 10_000;

  private final ChangeStore engine; // null where this gateway has no way to it
  private final FleetRecords records;
  private final ArrayDeque<Audit> audits = new ArrayDeque<>();

  FleetTenantRecords(ChangeStore engine, FleetRecords records) {
    this.engine = engine;
    this.records = records;
  }

  private ChangeStore engine() throws NoEngine {
    if (engine == null) {
      throw new NoEngine();
    }
    return engine;
  }

  private static Entry entry(Change record) {
    try {
      return new Entry(
          record.name().substring(PREFIX.length()),
          record.version().sequence(),
          SpecJson.parse(record.document().getBytes(UTF_8)));
    } catch (SpecException e) {
      throw new IllegalStateException(record.name() + " in the engine is no JSON object", e);
    }
  }

  @Override
  public Entry get(String id) throws OperatorException {
    Change record = engine().record(PREFIX + id);
    return record == null ? null : entry(record);
  }

  @Override
  public List<Entry> all() throws OperatorException {
    return engine().readAll().snapshot().records().stream()
        .filter(r -> r.name().startsWith(PREFIX))
        .map(FleetTenantRecords::entry)
        .toList();
  }

  @Override
  public long put(String id, long expected, JsonNode document, String who, String what, long at)
      throws ConflictException, OperatorException {
    try {
      Version version =
          engine()
              .write(
                  PREFIX + id,
                  expected,
                  document == null ? null : document.toString(),
                  records.version());
      synchronized (audits) {
        audits.addLast(new Audit(version.sequence(), expected, at, who, what, Kind.TENANT, id));
        if (audits.size() > MOST_AUDITS) {
          audits.removeFirst();
        }
      }
      return version.sequence();
    } catch (RecordChanged e) {
      throw new ConflictException(e.present() == null ? null : entry(e.present()));
    }
  }

  @Override
  public long revision() {
    return records.version().sequence();
  }

  @Override
  public List<Audit> audits(long after, int most) {
    synchronized (audits) {
      return new ArrayList<>(
          audits.stream().filter(a -> a.revision() > after).limit(most).toList());
    }
  }

  @Override
  public boolean isPutInForceByCaller() {
    return false;
  }
}

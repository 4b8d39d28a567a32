package shelffront.hosted;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.function.LongConsumer;
import shelffront.admin.Tenancy;
import shelffront.admin.TenantRecords;
import shelffront.distribution.Change;
import shelffront.distribution.Version;
import shelffront.engine.EngineException;
import shelffront.fleetconfig.ChangeStore;
import shelffront.fleetconfig.DistributionException.NoEngine;
import shelffront.fleetconfig.DistributorRole;
import shelffront.fleetconfig.FleetRecords;
import shelffront.fleetconfig.FleetRecordsConfig;
import shelffront.net.Log;
import shelffront.tenant.SpecJson;
import shelffront.tenant.SpecJson.SpecException;
import shelffront.tenant.TenantSpec;

/**
 * The tenants that a gateway of a fleet serves, by distribution: puts their records in force as
 * they come, and finds those that a client names first.
 */
final class FleetTenants implements FleetRecords.Target, AutoCloseable {

  private final Tenancy.Control control;
  private final ScheduledThreadPoolExecutor timer = DistributorRole.timer(1, "fleet-records");
  private final FleetRecords records;
  private final ChangeStore engine; // null where this gateway changes nothing
  private volatile LongConsumer reached = sequence -> {};

  FleetTenants(FleetRecordsConfig config, Tenancy.Control control, Log log) {
    this.control = control;
    records =
        new FleetRecords(
            config,
            this,
            FleetRecords.httpClient(config.timings()),
            timer,
            () -> System.nanoTime() / 1000,
            new Random(),
            log);
    engine = config.engine() == null ? null : DistributorRole.changeStore(config);
  }

  /** Told of each sequence up to which every change is in force here. */
  void whenReached(LongConsumer told) {
    reached = told;
  }

  void start() {
    records.start();
  }

  /**
   * Where administrators change tenants; each call is refused where this gateway has no way to the
   * engine.
   */
  TenantRecords administration() {
    return new FleetTenantRecords(engine, records);
  }

  FleetRecords.Status status() {
    return records.status();
  }

  /** What the engine holds is the truth from here on, after it was restored from older data. */
  Version beginIncarnation() throws EngineException, NoEngine {
    if (engine == null) {
      throw new NoEngine();
    }
    return engine.beginIncarnation();
  }

  /**
   * Whether there is a tenant of this name; it is in force then, as far as the loops have been
   * told. An event loop may call: it does not wait, also not for a record that is being validated.
   */
  CompletableFuture<Boolean> lookUp(String id) {
    return id.matches(SpecJson.NAME)
        ? CompletableFuture.supplyAsync(() -> records.lookUp(FleetTenantRecords.PREFIX + id), timer)
            .thenCompose(found -> found)
        : CompletableFuture.completedFuture(false);
  }

  /** No client has asked for it for long. An event loop may call. */
  void forget(String id) {
    timer.execute(() -> records.forget(FleetTenantRecords.PREFIX + id));
  }

  @Override
  public String put(Change record) {
    try {
      TenantSpec spec = SpecJson.read(SpecJson.parse(record.document().getBytes(UTF_8)));
      if (!record.name().equals(FleetTenantRecords.PREFIX + spec.id())) {
        return "/id is not the name of the record";
      }
      control.apply(spec, at -> {});
      return null;
    } catch (SpecException e) {
      return e.pointer() + " " + e.getMessage();
    }
  }

  @Override
  public void remove(String name) {
    control.remove(name.substring(FleetTenantRecords.PREFIX.length()), at -> {});
  }

  @Override
  public void reached(Version version) {
    reached.accept(version.sequence());
  }

  @Override
  public void close() {
    records.close();
    timer.shutdownNow();
    if (engine != null) {
      engine.close();
    }
  }
}

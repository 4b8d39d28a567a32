package shelffront.multitenant;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.function.LongConsumer;
import shelffront.admin.TenantAdministration;
import shelffront.admin.TenantDocuments;
import shelffront.controlplane.ChangeStore;
import shelffront.controlplane.DistributionException.NoEngine;
import shelffront.controlplane.DistributorProcess;
import shelffront.controlplane.SubscribedRecords;
import shelffront.controlplane.SubscribedRecordsConfig;
import shelffront.coordination.CoordinationException;
import shelffront.distribution.RecordChange;
import shelffront.distribution.Version;
import shelffront.net.EventLog;
import shelffront.tenant.TenantSpec;
import shelffront.tenant.TenantSpecCodec;
import shelffront.tenant.TenantSpecCodec.SpecException;

/**
 * The tenants that a gateway of a fleet receives by distribution. Applies their records as they
 * arrive and looks up tenants that a client names for the first time. Any thread may call.
 */
final class FleetTenants implements SubscribedRecords.RecordApplier, AutoCloseable {

  private final TenantAdministration.TenantControl control;
  private final ScheduledThreadPoolExecutor executor =
      DistributorProcess.newDaemonScheduler(1, "fleet-records");
  private final SubscribedRecords records;
  private final ChangeStore changeStore; // null if this gateway cannot change tenants
  private volatile LongConsumer inForceListener = sequence -> {};

  FleetTenants(
      SubscribedRecordsConfig config, TenantAdministration.TenantControl control, EventLog log) {
    this.control = control;
    records =
        new SubscribedRecords(
            config,
            this,
            SubscribedRecords.httpClient(config.timings()),
            executor,
            () -> System.nanoTime() / 1000,
            new Random(),
            log);
    changeStore =
        config.engineAddress() == null ? null : DistributorProcess.openChangeStore(config);
  }

  /**
   * Sets the listener that receives the highest sequence number up to which this gateway has
   * applied every change.
   */
  void setInForceListener(LongConsumer listener) {
    inForceListener = listener;
  }

  void start() {
    records.start();
  }

  /**
   * Returns the documents through which administrators change tenants. Reads and writes of them
   * throw {@link NoEngine} if this gateway has no access to the coordination store.
   */
  TenantDocuments documents() {
    return new FleetTenantDocuments(changeStore, records);
  }

  SubscribedRecords.Status status() {
    return records.status();
  }

  /**
   * Declares the contents of the coordination store authoritative after it was restored from older
   * data.
   */
  Version beginIncarnation() throws CoordinationException, NoEngine {
    if (changeStore == null) {
      throw new NoEngine();
    }
    return changeStore.beginIncarnation();
  }

  /**
   * Looks up a tenant. Completes with true if it exists; its specification has then been posted to
   * the event loops. Never blocks, not even while a record is being validated, so that an event
   * loop may call.
   */
  CompletableFuture<Boolean> lookUp(String id) {
    return id.matches(TenantSpecCodec.NAME_PATTERN)
        ? CompletableFuture.supplyAsync(
                () -> records.lookUp(FleetTenantDocuments.RECORD_NAME_PREFIX + id), executor)
            .thenCompose(found -> found)
        : CompletableFuture.completedFuture(false);
  }

  /**
   * Unsubscribes from a tenant that no client uses. Never blocks, so that an event loop may call.
   */
  void unsubscribe(String id) {
    executor.execute(() -> records.unsubscribe(FleetTenantDocuments.RECORD_NAME_PREFIX + id));
  }

  @Override
  public String apply(RecordChange record) {
    try {
      TenantSpec spec =
          TenantSpecCodec.read(TenantSpecCodec.parse(record.document().getBytes(UTF_8)));
      if (!record.name().equals(FleetTenantDocuments.RECORD_NAME_PREFIX + spec.id())) {
        return "/id must match the record name " + record.name() + ", but is " + spec.id();
      }
      control.apply(spec, at -> {});
      return null;
    } catch (SpecException e) {
      return e.pointer() + " " + e.getMessage();
    }
  }

  @Override
  public void remove(String name) {
    control.remove(name.substring(FleetTenantDocuments.RECORD_NAME_PREFIX.length()), at -> {});
  }

  @Override
  public void onVersionReached(Version version) {
    inForceListener.accept(version.sequence());
  }

  @Override
  public void close() {
    records.close();
    executor.shutdownNow();
    if (changeStore != null) {
      changeStore.close();
    }
  }
}

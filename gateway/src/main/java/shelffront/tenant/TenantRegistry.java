package shelffront.tenant;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongConsumer;
import shelffront.frontend.TenantLookup;
import shelffront.net.CloseReason;
import shelffront.net.Network;
import shelffront.pg.ProtocolException;
import shelffront.pg.SqlState;
import shelffront.pg.StartupParameters;
import shelffront.quota.ConnectionQuotas;
import shelffront.quota.DeficitRoundRobin.Flow;
import shelffront.quota.TenantQuotas;
import shelffront.routing.RoleReport;
import shelffront.time.ShutdownSchedule;

/**
 * The tenants of one event loop by name. Authenticates clients by the tenant that their startup
 * message names as database. {@link TenantQuotas} divides the shared capacity among the tenants.
 * Confined to the event loop.
 */
public final class TenantRegistry implements TenantLookup {

  private static final byte[] DUMMY_KEY_HASH = new byte[32];

  private final Network network;
  private final TenantQuotas quotas;
  private final ConnectionQuotas hostConnectionQuotas;
  private final Map<String, Tenant> tenants = new HashMap<>();

  /**
   * Tenants that were removed or replaced and still have open requests, oldest first, each with the
   * callbacks to run at its end.
   */
  private final Map<Tenant, List<Runnable>> draining = new LinkedHashMap<>();

  private long seed;

  /**
   * Creates a registry without tenants.
   *
   * @param hostConnectionQuotas divides the host connections among tenants
   * @param seed random seed of the first tenant's router, incremented for each further tenant
   */
  public TenantRegistry(
      Network network, TenantQuotas quotas, ConnectionQuotas hostConnectionQuotas, long seed) {
    this.network = network;
    this.quotas = quotas;
    this.hostConnectionQuotas = hostConnectionQuotas;
    this.seed = seed;
  }

  /**
   * Applies the specification of a new or changed tenant. {@code onInForce} receives the time in
   * microseconds from which no request is served under an older specification.
   */
  public void apply(TenantSpec spec, LongConsumer onInForce) {
    Tenant current = tenants.get(spec.id());
    if (current != null && current.update(spec)) {
      onInForce.accept(network.loop().nowMicros());
      return;
    }
    Flow<Runnable> flow = new Flow<>(spec.weight());
    Tenant next =
        new Tenant(
            network.forTenant(spec.id(), flow, spec.bounds().bufferBytes()),
            spec,
            seed++,
            hostConnectionQuotas,
            quotas);
    tenants.put(spec.id(), next);
    if (current == null) {
      onInForce.accept(network.loop().nowMicros());
    } else {
      // The change requires a new router. The new tenant takes all further requests, and the old
      // one completes its open requests.
      startRemoval(current, spec.graceMicros(), onInForce);
    }
    linkPredecessor(next);
  }

  /**
   * Makes a new tenant cover the writes that sessions may have made through an earlier tenant of
   * the same id, which may still be draining here or is gone.
   */
  private void linkPredecessor(Tenant next) {
    next.succession().predecessorStarted();
    Tenant predecessor = null;
    for (Tenant each : draining.keySet()) {
      predecessor = each.spec().id().equals(next.spec().id()) ? each : predecessor;
    }
    if (predecessor == null) {
      predecessorEnded(next);
    } else {
      draining.get(predecessor).add(() -> predecessorEnded(next));
      predecessor.succession().forwardRoleReports(next::onPredecessorReport);
    }
  }

  private void predecessorEnded(Tenant tenant) {
    tenant.succession().predecessorEnded(network.loop().nowMicros());
  }

  /**
   * Adds a tenant that another event loop has served. Session reads cover the writes accepted there
   * until the returned task has run, and afterwards.
   *
   * @return a task to run on this loop once the tenant has been removed from the other loop
   */
  public Runnable migrateIn(TenantSpec spec) {
    apply(spec, atMicros -> {});
    Tenant migrated = tenants.get(spec.id());
    migrated.succession().predecessorStarted();
    return () -> predecessorEnded(migrated);
  }

  /**
   * Passes what hosts report to a tenant from now on about their roles to the listener, until the
   * tenant has been removed. Does nothing if there is no tenant with this id.
   */
  public void forwardRoleReports(String id, RoleReportListener listener) {
    Tenant tenant = tenants.get(id);
    if (tenant != null) {
      tenant.succession().forwardRoleReports(listener);
    }
  }

  /** Reports what a host has told the router of this tenant on another loop about its role. */
  public void onPredecessorReport(String id, String endpointId, RoleReport report) {
    Tenant tenant = tenants.get(id);
    if (tenant != null) {
      tenant.onPredecessorReport(endpointId, report);
    }
  }

  /** Reports that another loop may have received role reports that it has not forwarded. */
  public void onRoleReportsMissed(String id) {
    Tenant tenant = tenants.get(id);
    if (tenant != null) {
      tenant.onRoleReportsMissed();
    }
  }

  /** Whether a tenant has no client on this event loop. */
  public boolean hasNoClients(String id) {
    Tenant tenant = tenants.get(id);
    return tenant == null || tenant.hasNoClients();
  }

  /**
   * Removes a tenant from service. {@code onRemoved} receives the time in microseconds at which the
   * removal is complete.
   */
  public void remove(String id, LongConsumer onRemoved) {
    Tenant tenant = tenants.remove(id);
    if (tenant == null) {
      onRemoved.accept(network.loop().nowMicros());
    } else {
      startRemoval(tenant, tenant.spec().graceMicros(), onRemoved);
    }
  }

  private void startRemoval(Tenant tenant, long graceMicros, LongConsumer onRemoved) {
    draining.put(tenant, new ArrayList<>());
    tenant.remove(
        graceMicros,
        () -> {
          draining.remove(tenant).forEach(Runnable::run);
          onRemoved.accept(network.loop().nowMicros());
        });
  }

  /** Returns the usage of a tenant, or null if there is no tenant with this id. */
  public Tenant.Usage usage(String id) {
    Tenant tenant = tenants.get(id);
    return tenant == null ? null : tenant.usage();
  }

  /**
   * Continues a drain of the gateway for every tenant; returns whether no request of any tenant is
   * open.
   */
  public boolean drain(ShutdownSchedule schedule) {
    List<Tenant> all = new ArrayList<>(tenants.values());
    all.addAll(draining.keySet());
    boolean drained = true;
    for (Tenant tenant : all) {
      drained &= tenant.drain(schedule);
    }
    return drained;
  }

  /** Closes all tenants, including those that are being removed. */
  public void close(CloseReason reason) {
    tenants.values().forEach(tenant -> tenant.close(reason));
    List.copyOf(draining.keySet()).forEach(tenant -> tenant.close(reason));
  }

  // ---- Lookup for clients

  private Tenant tenantOf(StartupParameters startup) {
    return tenants.get(startup.database());
  }

  /**
   * Returns true for unknown tenants too, so that without a key a client can detect only tenants
   * that require none.
   */
  @Override
  public boolean requiresPassword(StartupParameters startup) {
    Tenant tenant = tenantOf(startup);
    return tenant == null || !tenant.spec().credentials().isEmpty();
  }

  @Override
  public Tenant authenticate(StartupParameters startup) throws ProtocolException {
    Tenant tenant = tenantOf(startup);
    if (tenant == null) {
      throw unknownDatabase();
    }
    tenant.checkAdmission();
    return tenant;
  }

  @Override
  public Tenant authenticate(StartupParameters startup, byte[] password) throws ProtocolException {
    Tenant tenant = tenantOf(startup);
    String user = startup.user();
    boolean known = false;
    for (TenantSpec.Credential credential :
        tenant == null ? List.<TenantSpec.Credential>of() : tenant.spec().credentials()) {
      known |= credential.user().equals(user) && ApiKeys.matches(credential.keyHash(), password);
    }
    // Compares against a dummy hash and sends the same error, so that neither response time nor
    // message reveals whether the tenant exists.
    if (tenant == null && ApiKeys.matches(DUMMY_KEY_HASH, password) || !known) {
      throw unknownDatabase();
    }
    tenant.checkAdmission();
    return tenant;
  }

  private static ProtocolException unknownDatabase() {
    return new ProtocolException(
        SqlState.INVALID_CATALOG_NAME, "there is no such database for this user");
  }
}

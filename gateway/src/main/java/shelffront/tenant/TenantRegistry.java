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
import shelffront.quota.ConnectionQuotas;
import shelffront.quota.DeficitRoundRobin.Flow;
import shelffront.quota.TenantQuotas;

/**
 * The tenants of one event loop by their names, and the lookup by which clients find theirs: the
 * database of the startup message. What all use is divided among them by {@link TenantQuotas}. On
 * the loop thread.
 */
public final class TenantRegistry implements TenantLookup {

  private static final byte[] HASH_OF_NO_KEY = new byte[32];

  private final Network network;
  private final TenantQuotas quotas;
  private final ConnectionQuotas hostConnectionQuotas;
  private final Map<String, Tenant> tenants = new HashMap<>();

  /**
   * Removed or replaced, with work that is not over, the first told first; and who waits for its
   * end.
   */
  private final Map<Tenant, List<Runnable>> draining = new LinkedHashMap<>();

  private long seed;

  /**
   * Makes a registry without tenants.
   *
   * @param hostConnectionQuotas divides the connections to hosts
   * @param seed of the first tenant's router; those after it count on from there
   */
  public TenantRegistry(
      Network network, TenantQuotas quotas, ConnectionQuotas hostConnectionQuotas, long seed) {
    this.network = network;
    this.quotas = quotas;
    this.hostConnectionQuotas = hostConnectionQuotas;
    this.seed = seed;
  }

  /**
   * Takes up a tenant, new or changed; {@code inForce} is told the time once requests are under it
   * alone.
   */
  public void apply(TenantSpec spec, LongConsumer inForce) {
    Tenant running = tenants.get(spec.id());
    if (running != null && running.update(spec)) {
      inForce.accept(network.loop().nowMicros());
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
    if (running == null) {
      inForce.accept(network.loop().nowMicros());
    } else {
      // What it asks for only a new module can do: this one serves from now on, that one ends what
      // it has.
      startRemoval(running, spec.graceMicros(), inForce);
    }
    awaitPredecessor(next);
  }

  /**
   * Sessions may have written under its name before: through one that still ends its work here, or
   * is gone.
   */
  private void awaitPredecessor(Tenant next) {
    next.awaitPredecessor();
    Tenant before = null;
    for (Tenant each : draining.keySet()) {
      before = each.spec().id().equals(next.spec().id()) ? each : before;
    }
    if (before == null) {
      next.predecessorEnded();
    } else {
      draining.get(before).add(next::predecessorEnded);
    }
  }

  /**
   * Takes up a tenant that another loop has served: until the task given back has run here, once
   * all is over there, and for what was written before that, reads must be covered.
   */
  public Runnable migrateIn(TenantSpec spec) {
    apply(spec, atMicros -> {});
    Tenant arrived = tenants.get(spec.id());
    arrived.awaitPredecessor();
    return arrived::predecessorEnded;
  }

  /** Whether a tenant has no client here. */
  public boolean hasNoClients(String id) {
    Tenant tenant = tenants.get(id);
    return tenant == null || tenant.hasNoClients();
  }

  /** Takes a tenant out of service; {@code gone} is told the time once nothing of it is left. */
  public void remove(String id, LongConsumer gone) {
    Tenant tenant = tenants.remove(id);
    if (tenant == null) {
      gone.accept(network.loop().nowMicros());
    } else {
      startRemoval(tenant, tenant.spec().graceMicros(), gone);
    }
  }

  private void startRemoval(Tenant tenant, long graceMicros, LongConsumer gone) {
    draining.put(tenant, new ArrayList<>());
    tenant.remove(
        graceMicros,
        () -> {
          draining.remove(tenant).forEach(Runnable::run);
          gone.accept(network.loop().nowMicros());
        });
  }

  /** A tenant's use, or null where there is none of that name. */
  public Tenant.Usage usage(String id) {
    Tenant tenant = tenants.get(id);
    return tenant == null ? null : tenant.usage();
  }

  /** Whether no request of any tenant is open. */
  public boolean hasNoOpenRequests() {
    return tenants.values().stream().allMatch(Tenant::hasNoOpenRequests)
        && draining.keySet().stream().allMatch(Tenant::hasNoOpenRequests);
  }

  /** Closes all tenants, those that are being removed among them. */
  public void close(CloseReason reason) {
    tenants.values().forEach(tenant -> tenant.close(reason));
    List.copyOf(draining.keySet()).forEach(tenant -> tenant.close(reason));
  }

  // ---- Lookup for clients

  /**
   * The tenant that a startup message names: its database, or, as PostgreSQL has it, the user where
   * it has none.
   */
  public static String nameIn(Map<String, String> startup) {
    String user = startup.getOrDefault("user", "");
    return startup.getOrDefault("database", user);
  }

  private Tenant tenantOf(Map<String, String> startup) {
    return tenants.get(nameIn(startup));
  }

  /** Only of those who admit everybody can anything be learnt without a key. */
  @Override
  public boolean requiresPassword(Map<String, String> startup) {
    Tenant tenant = tenantOf(startup);
    return tenant == null || !tenant.spec().credentials().isEmpty();
  }

  @Override
  public Tenant authenticate(Map<String, String> startup) throws ProtocolException {
    Tenant tenant = tenantOf(startup);
    if (tenant == null) {
      throw unknownDatabase();
    }
    tenant.checkAdmission();
    return tenant;
  }

  @Override
  public Tenant authenticate(Map<String, String> startup, byte[] password)
      throws ProtocolException {
    Tenant tenant = tenantOf(startup);
    String user = startup.getOrDefault("user", "");
    boolean known = false;
    for (TenantSpec.Credential credential :
        tenant == null ? List.<TenantSpec.Credential>of() : tenant.spec().credentials()) {
      known |= credential.user().equals(user) && ApiKeys.matches(credential.keyHash(), password);
    }
    // A name that nobody has costs a comparison too, and is answered in the same words.
    if (tenant == null && ApiKeys.matches(HASH_OF_NO_KEY, password) || !known) {
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

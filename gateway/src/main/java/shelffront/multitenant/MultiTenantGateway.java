package shelffront.multitenant;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.temporal.ChronoUnit;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongConsumer;
import shelffront.admin.AdminServer;
import shelffront.admin.AdminTokens;
import shelffront.admin.FleetResource;
import shelffront.admin.TenantAdministration;
import shelffront.admin.TenantDocuments;
import shelffront.controlplane.SubscribedRecords;
import shelffront.coordination.ConsulCoordinationStore;
import shelffront.coordination.CoordinationStore;
import shelffront.coordination.OperatorException;
import shelffront.distribution.Version;
import shelffront.gateway.Gateway;
import shelffront.net.Counters;
import shelffront.net.EventLog;
import shelffront.net.EventLoop;
import shelffront.net.Network;
import shelffront.rolloutcontrol.RolloutConfig;
import shelffront.rolloutcontrol.RolloutCoordinator;
import shelffront.rolloutcontrol.RolloutHistory;
import shelffront.store.DocumentStore;
import shelffront.store.DocumentStore.ConflictException;
import shelffront.store.DocumentStore.Kind;
import shelffront.tenant.Tenant;
import shelffront.tenant.TenantSpec;
import shelffront.tenant.TenantSpecCodec.SpecException;

/**
 * A gateway for several tenants with its document store and administration API, as started by
 * {@code serve --config}.
 */
public final class MultiTenantGateway
    implements TenantAdministration.TenantControl, FleetResource.Distribution {

  private final Network network;
  private final EventLoop loop;
  private final EventLoopGroup loops;
  private final Gateway gateway;
  private final DocumentStore store;
  private final AdminTokens tokens;
  private final TenantAdministration administration;
  private final AdminServer adminServer;
  private final FleetTenants fleetTenants; // null if the tenants are in the store
  private final RolloutCoordinator rollouts; // null for a standalone gateway

  public MultiTenantGateway(MultiTenantConfig config, EventLog log)
      throws IOException, SpecException {
    this(config, log, GatewayEnvironment.machine());
  }

  public MultiTenantGateway(MultiTenantConfig config, EventLog log, GatewayEnvironment environment)
      throws IOException, SpecException {
    loops = new EventLoopGroup(config, log, environment);
    network = loops.firstNetwork();
    loop = network.loop();
    store = config.store() == null ? DocumentStore.inMemory() : DocumentStore.open(config.store());
    try {
      tokens = new AdminTokens(store, System::currentTimeMillis);
      fleetTenants =
          config.distribution() == null ? null : new FleetTenants(config.distribution(), this, log);
      administration = createAdministration();
      gateway = new Gateway(network, config.listen(), config.sockets(), loops, loops);
      loops.addFrontends(gateway.clients());
      administration.start();
      addMissingTenants(config);
      if (fleetTenants != null) {
        fleetTenants.setInForceListener(administration::recordInForceUpTo);
        loops.enableLookup(fleetTenants::lookUp, fleetTenants::unsubscribe);
      }
      rollouts = config.fleet() == null ? null : createRolloutCoordinator(config.fleet(), log);
      adminServer =
          config.admin() == null
              ? null
              : new AdminServer(
                  config.admin(),
                  store,
                  administration,
                  tokens,
                  new FleetResource(rollouts, fleetTenants == null ? null : this),
                  log);
    } catch (ConflictException | OperatorException e) {
      store.close();
      throw new IllegalStateException(
          "the tenants could not be loaded, although no other user of the store exists yet", e);
    } catch (IOException | SpecException | RuntimeException e) {
      store.close();
      throw e;
    }
  }

  private TenantAdministration createAdministration() {
    TenantDocuments records =
        fleetTenants == null ? TenantDocuments.in(store) : fleetTenants.documents();
    return new TenantAdministration(records, this, System::currentTimeMillis);
  }

  /**
   * Creates the rollout coordinator. Calls to the coordination store time out after a quarter of
   * the lease duration, which leaves time to retry a failed renewal before the lease expires.
   */
  private static RolloutCoordinator createRolloutCoordinator(RolloutConfig fleet, EventLog log)
      throws IOException {
    CoordinationStore coordinationStore =
        new ConsulCoordinationStore(
            fleet.engineHost(),
            fleet.enginePort(),
            Duration.of(fleet.leaseTimings().leaseMicros() / 4, ChronoUnit.MICROS));
    return new RolloutCoordinator(
        fleet,
        coordinationStore,
        UUID.randomUUID().toString().substring(0, 8),
        RolloutHistory.appendingTo(fleet.historyFile()),
        log);
  }

  /**
   * Adds the tenants of a configuration that the store does not contain. Tenants already in the
   * store keep the state set by administrators.
   *
   * @return the number of tenants added
   */
  public int addMissingTenants(MultiTenantConfig config)
      throws SpecException, ConflictException, OperatorException {
    int count = 0;
    for (JsonNode tenant : config.tenants()) {
      String id = tenant.path("id").asText();
      if (store.get(Kind.TENANT, id) == null) {
        administration.put(id, 0, tenant, "file", "create");
        count++;
      }
    }
    return count;
  }

  /**
   * Serves clients and administrators until the gateway is drained. The calling thread runs the
   * first event loop.
   */
  public void run() throws InterruptedException {
    if (adminServer != null) {
      adminServer.start();
    }
    if (rollouts != null) {
      rollouts.start();
    }
    if (fleetTenants != null) {
      fleetTenants.start();
    }
    loops.start();
    gateway.start();
    loop.run();
    loops.join();
    if (fleetTenants != null) {
      fleetTenants.close();
    }
    if (rollouts != null) {
      rollouts.close();
    }
    if (adminServer != null) {
      adminServer.close();
    }
    store.close();
  }

  /** Starts to accept clients without starting threads; the caller runs the event loops. */
  public void startWithoutThreads() {
    gateway.start();
  }

  /** Returns the networks of all event loops, the first loop's first. */
  public List<Network> networks() {
    return loops.networks();
  }

  /** Starts a thread that calls {@link #run}. */
  public Thread start() {
    Thread thread =
        new Thread(
            () -> {
              try {
                run();
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            },
            "turns");
    thread.start();
    return thread;
  }

  /**
   * Drains the gateway: {@link #run} returns once all accepted requests are completed and all
   * clients are disconnected. Any thread may call.
   */
  public void drain() {
    loop.post(gateway::drain);
  }

  public InetSocketAddress address() throws IOException {
    return (InetSocketAddress) gateway.address();
  }

  /** Returns the address of the administration API, or null if it is disabled. */
  public InetSocketAddress adminAddress() {
    return adminServer == null ? null : adminServer.address();
  }

  public AdminTokens tokens() {
    return tokens;
  }

  public DocumentStore store() {
    return store;
  }

  /** Resources held by all event loops together; tests use them to detect leaks. */
  public record HeldResources(int deadlines, long bufferBytes, Counters counters) {

    /** Adds the resources of one loop; all loops report the same shared buffers. */
    HeldResources plusLoop(HeldResources loop) {
      counters.addAll(loop.counters);
      return new HeldResources(deadlines + loop.deadlines, loop.bufferBytes, counters);
    }
  }

  public CompletableFuture<HeldResources> heldResources() {
    return loops.heldResources();
  }

  /**
   * Returns the index, from 0, of the event loop that a tenant is assigned to, or -1 if there is no
   * such tenant.
   */
  public CompletableFuture<Integer> loopOf(String id) {
    CompletableFuture<Integer> loopOf = new CompletableFuture<>();
    loop.post(() -> loopOf.complete(loops.loopOf(id)));
    return loopOf;
  }

  @Override
  public SubscribedRecords.Status status() {
    return fleetTenants.status();
  }

  @Override
  public Version beginIncarnation() throws OperatorException {
    return fleetTenants.beginIncarnation();
  }

  @Override
  public void apply(TenantSpec spec, LongConsumer onInForce) {
    loop.post(() -> loops.apply(spec, onInForce));
  }

  @Override
  public void remove(String id, LongConsumer onRemoved) {
    loop.post(() -> loops.remove(id, onRemoved));
  }

  @Override
  public CompletableFuture<Tenant.Usage> usage(String id) {
    CompletableFuture<Tenant.Usage> usage = new CompletableFuture<>();
    loop.post(() -> loops.usage(id, usage::complete));
    return usage;
  }
}

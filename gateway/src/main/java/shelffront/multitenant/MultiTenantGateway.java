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
 * A gateway for many tenants with its store and its administration, as {@code serve --config}
 * starts it.
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
  private final FleetTenants fleetTenants; // null where its tenants are its own
  private final RolloutCoordinator rollouts; // null where this gateway is on its own

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
      administration = administration();
      gateway =
          new Gateway(
              network, config.listen(), config.sockets(), loops, loops::isDrained, loops::close);
      loops.serveBehind(gateway.clients());
      administration.start();
      addMissingTenants(config);
      if (fleetTenants != null) {
        fleetTenants.onInForceUpTo(administration::recordInForceUpTo);
        loops.lookUpWith(fleetTenants::lookUp, fleetTenants::forget);
      }
      rollouts = config.fleet() == null ? null : rolloutCoordinator(config.fleet(), log);
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
      throw new IllegalStateException("nobody else has the store yet", e);
    } catch (IOException | SpecException | RuntimeException e) {
      store.close();
      throw e;
    }
  }

  private TenantAdministration administration() {
    TenantDocuments records =
        fleetTenants == null ? TenantDocuments.in(store) : fleetTenants.documents();
    return new TenantAdministration(records, this, System::currentTimeMillis);
  }

  /** A call of the engine has a quarter of a lease: a renewal that fails leaves time for others. */
  private static RolloutCoordinator rolloutCoordinator(RolloutConfig fleet, EventLog log)
      throws IOException {
    CoordinationStore engine =
        new ConsulCoordinationStore(
            fleet.engineHost(),
            fleet.enginePort(),
            Duration.of(fleet.leaseTimings().leaseMicros() / 4, ChronoUnit.MICROS));
    return new RolloutCoordinator(
        fleet,
        engine,
        UUID.randomUUID().toString().substring(0, 8),
        RolloutHistory.appendingTo(fleet.historyFile()),
        log);
  }

  /**
   * Puts in the tenants of a file that the store has none of; those it has stand as administrators
   * left them.
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
   * Takes clients and administrators in, and serves until it is drained; the caller's thread is the
   * loop thread.
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

  /** Takes clients in without running anything: for whoever takes the loops' turns himself. */
  public void startWithoutThreads() {
    gateway.start();
  }

  /** The loops' own views, the listener's first. */
  public List<Network> networks() {
    return loops.networks();
  }

  /** Runs on a thread of its own, which ends with {@link #drain}. */
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

  /** Ends {@link #run} once what was taken is answered. Any thread may call. */
  public void drain() {
    loop.post(gateway::drain);
  }

  public InetSocketAddress address() throws IOException {
    return (InetSocketAddress) gateway.address();
  }

  /** Where administrators connect; null where there is no administration. */
  public InetSocketAddress adminAddress() {
    return adminServer == null ? null : adminServer.address();
  }

  public AdminTokens tokens() {
    return tokens;
  }

  public DocumentStore store() {
    return store;
  }

  /** What the whole of it holds: for tests that count what is left. */
  public record HeldResources(int deadlines, long bufferBytes, Counters counters) {}

  public CompletableFuture<HeldResources> heldResources() {
    return loops.heldResources();
  }

  /**
   * The event loop that a tenant lives on, by its number from 0; -1 where there is none of that
   * name.
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
  public void apply(TenantSpec spec, LongConsumer inForce) {
    loop.post(() -> loops.apply(spec, inForce));
  }

  @Override
  public void remove(String id, LongConsumer gone) {
    loop.post(() -> loops.remove(id, gone));
  }

  @Override
  public CompletableFuture<Tenant.Usage> usage(String id) {
    CompletableFuture<Tenant.Usage> usage = new CompletableFuture<>();
    loop.post(() -> loops.usage(id, usage::complete));
    return usage;
  }
}

package shelffront.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.List;
import java.util.Set;
import shelffront.backend.BackendConnections.Login;
import shelffront.config.GatewayConfig;
import shelffront.frontend.FrontendConnections;
import shelffront.frontend.RequestHandler;
import shelffront.frontend.TenantLookup;
import shelffront.net.CloseReason;
import shelffront.net.EventLoop;
import shelffront.net.Network;
import shelffront.pg.StartupParameters;
import shelffront.quota.ConnectionQuotas;
import shelffront.tenant.Tenant;
import shelffront.tenant.TenantSpec;
import shelffront.time.ShutdownSchedule;

/**
 * A listener and the tenants that it serves: either the single tenant of a configuration file, or
 * many tenants.
 *
 * <p>{@link #drain} stops the gateway gracefully: it keeps serving clients that connect during the
 * drain, closes each connection once it is idle, and stops the event loop when no connection is
 * left. Every request has its final response by the time of {@link ShutdownSchedule}. Not
 * thread-safe: runs on the event loop.
 */
public final class Gateway {

  private static final long DRAIN_CHECK_INTERVAL_MICROS = 20_000;

  /**
   * Fractions of the file descriptors: one half for client connections and three eighths for host
   * connections; the rest remains for files, discovery and the JVM.
   */
  private static final double CLIENT_SHARE = 0.5;

  private static final double HOST_SHARE = 0.375;

  private final Network network;
  private final EventLoop loop;
  private final FrontendConnections clients;
  private final DrainableTenants tenants;
  private final Tenant singleTenant; // null if the gateway serves many tenants
  private ShutdownSchedule shutdown; // null until a drain begins
  private boolean listenerStopped;

  /**
   * Creates a gateway with a single tenant, which serves all clients regardless of the user and
   * database in their startup message.
   */
  public Gateway(Network network, GatewayConfig config) throws IOException {
    this.network = network;
    loop = network.loop();
    singleTenant =
        new Tenant(
            network,
            singleTenantSpec(config),
            config.seed(),
            new ConnectionQuotas(hostConnectionLimit(config.maxSockets())),
            null);
    clients =
        new FrontendConnections(
            network,
            config.listenAddress(),
            clientConnectionLimit(config.maxSockets()),
            new TenantLookup() {
              @Override
              public RequestHandler authenticate(StartupParameters startup) {
                return singleTenant;
              }

              @Override
              public boolean requiresPassword(StartupParameters startup) {
                return false;
              }

              @Override
              public RequestHandler authenticate(StartupParameters startup, byte[] password) {
                return singleTenant;
              }
            });
    tenants = drainable(singleTenant);
  }

  /**
   * Creates a gateway with many tenants. The startup message of a client determines its tenant.
   *
   * @param tenants the tenants that {@code tenantLookup} finds
   */
  public Gateway(
      Network network,
      InetSocketAddress listenAddress,
      int maxSockets,
      TenantLookup tenantLookup,
      DrainableTenants tenants)
      throws IOException {
    this.network = network;
    this.tenants = tenants;
    loop = network.loop();
    singleTenant = null;
    clients =
        new FrontendConnections(
            network, listenAddress, clientConnectionLimit(maxSockets), tenantLookup);
  }

  private static DrainableTenants drainable(Tenant tenant) {
    return new DrainableTenants() {
      @Override
      public long longestDeadlineMicros() {
        return tenant.spec().settings().longestDeadlineMicros();
      }

      @Override
      public boolean drain(ShutdownSchedule schedule) {
        return tenant.drain(schedule);
      }

      @Override
      public void close() {
        tenant.close(CloseReason.DRAINED);
      }
    };
  }

  /** Returns the maximum number of host connections for a given number of sockets. */
  public static int hostConnectionLimit(int maxSockets) {
    return (int) (maxSockets * HOST_SHARE);
  }

  private static int clientConnectionLimit(int maxSockets) {
    return (int) (maxSockets * CLIENT_SHARE);
  }

  private static TenantSpec singleTenantSpec(GatewayConfig config) {
    TenantSpec.Bounds bounds =
        new TenantSpec.Bounds(
            0, 0, config.maxOpenRequests(), Integer.MAX_VALUE, Integer.MAX_VALUE, Long.MAX_VALUE);
    return new TenantSpec(
        "",
        1,
        new double[0],
        bounds,
        config.settings(),
        new Login("api", "ledger"),
        new TenantSpec.EndpointSource(config.discoveryAddress(), config.knownEndpoints()),
        Set.of(),
        List.of(),
        0);
  }

  /** Returns the client connections on the listener's event loop; other loops have their own. */
  public FrontendConnections clients() {
    return clients;
  }

  public SocketAddress address() throws IOException {
    return clients.address();
  }

  /**
   * Starts the single tenant, if there is one, with the endpoint list of its configuration, then
   * accepts clients.
   */
  public void start() {
    loop.updateClock(); // otherwise the time spent on startup counts against deadlines set here
    if (singleTenant != null) {
      singleTenant.start();
    }
    clients.accept();
  }

  /**
   * Applies a changed configuration to the single tenant. Only the discovery address takes effect:
   * other settings are read once at startup, and the running endpoint list is newer than the list
   * in the file.
   */
  public void reload(GatewayConfig next) {
    singleTenant.changeDiscoveryAddress(next.discoveryAddress());
    network
        .log()
        .println(
            "reloaded, discovery is "
                + next.discoveryAddress()
                + (next.settings().equals(singleTenant.spec().settings())
                    ? ""
                    : "; changes of other settings take effect after a restart"));
  }

  /**
   * Stops the gateway gracefully. New connections are accepted until all connections are closed and
   * no request is open; then the listener closes and the loop stops. Requests end by the time of
   * the schedule, but a client that does not read its response keeps its connection open: callers
   * that wait for the drain must bound their wait.
   */
  public void drain() {
    network.log().println("stopping");
    shutdown = ShutdownSchedule.beginningAt(loop.nowMicros(), tenants.longestDeadlineMicros());
    clients.drain(shutdown);
    tenants.drain(shutdown);
    loop.scheduleAt(shutdown.closeIdleAtMicros(), this::stopWhenDone);
  }

  /**
   * Applies what is due by the schedule, and stops the gateway if no connection is left and no
   * request is open. Repeats itself until then, so that clients that connect late or send nothing
   * do not delay the stop.
   */
  private void stopWhenDone() {
    clients.drain(shutdown);
    // Evaluated in every pass, since the call also makes the other event loops drain.
    boolean drained = tenants.drain(shutdown);
    if (!clients.isEmpty() || !drained) {
      loop.scheduleAt(loop.nowMicros() + DRAIN_CHECK_INTERVAL_MICROS, this::stopWhenDone);
      return;
    }
    if (!listenerStopped) {
      // A connection may be accepted while the listener closes; it is served before the stop.
      listenerStopped = true;
      clients.stopAccepting(this::stopWhenDone);
      return;
    }
    close();
    network.log().println(network.counters());
    loop.stop();
  }

  /** Closes all sockets immediately. Must run on the event loop, or after the loop has ended. */
  public void close() {
    clients.close();
    tenants.close();
  }
}

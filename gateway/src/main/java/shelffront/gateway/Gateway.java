package shelffront.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import shelffront.backend.BackendConnections.Login;
import shelffront.config.GatewayConfig;
import shelffront.frontend.FrontendConnections;
import shelffront.frontend.RequestHandler;
import shelffront.frontend.TenantLookup;
import shelffront.net.CloseReason;
import shelffront.net.EventLoop;
import shelffront.net.Network;
import shelffront.quota.ConnectionQuotas;
import shelffront.tenant.Tenant;
import shelffront.tenant.TenantSpec;

/**
 * A listener and the tenants that it serves: either the single tenant of a configuration file, or
 * many tenants.
 *
 * <p>{@link #drain} stops the gateway gracefully: it keeps serving clients that connect during the
 * drain, closes each connection once it is idle, and stops the event loop when no connection is
 * left. Not thread-safe: runs on the event loop.
 */
public final class Gateway {

  /**
   * Delay between the start of a drain and the closing of idle connections. New connections that
   * carry requests may arrive for 0.4 s after the stop order.
   */
  private static final long LATE_ARRIVAL_WINDOW_MICROS = 500_000;

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
  private final BooleanSupplier backendsDrained;
  private final Runnable closeBackends;
  private final Tenant singleTenant; // null if the gateway serves many tenants
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
              public RequestHandler authenticate(Map<String, String> startup) {
                return singleTenant;
              }

              @Override
              public boolean requiresPassword(Map<String, String> startup) {
                return false;
              }

              @Override
              public RequestHandler authenticate(Map<String, String> startup, byte[] password) {
                return singleTenant;
              }
            });
    backendsDrained = singleTenant::hasNoOpenRequests;
    closeBackends = () -> singleTenant.close(CloseReason.DRAINED);
  }

  /**
   * Creates a gateway with many tenants. The startup message of a client determines its tenant.
   *
   * @param drained returns whether no tenant has an open request; polled during a drain
   * @param closeBackends closes the tenants' connections to hosts and discovery
   */
  public Gateway(
      Network network,
      InetSocketAddress listenAddress,
      int maxSockets,
      TenantLookup tenantLookup,
      BooleanSupplier drained,
      Runnable closeBackends)
      throws IOException {
    this.network = network;
    this.closeBackends = closeBackends;
    loop = network.loop();
    singleTenant = null;
    clients =
        new FrontendConnections(
            network, listenAddress, clientConnectionLimit(maxSockets), tenantLookup);
    backendsDrained = drained;
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
   * no request is open; then the listener closes and the loop stops. The drain has no time limit of
   * its own: callers that wait for it must bound their wait.
   */
  public void drain() {
    network.log().println("stopping");
    loop.scheduleAt(loop.nowMicros() + LATE_ARRIVAL_WINDOW_MICROS, this::stopWhenDone);
  }

  /**
   * Closes idle connections, and stops the gateway if no connection is left and no request is open.
   * Repeats itself until then, so that clients that connect late or send nothing do not delay the
   * stop.
   */
  private void stopWhenDone() {
    clients.drain();
    // Evaluated in every pass, since the call also makes the other event loops drain.
    boolean drained = backendsDrained.getAsBoolean();
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
    closeBackends.run();
  }
}

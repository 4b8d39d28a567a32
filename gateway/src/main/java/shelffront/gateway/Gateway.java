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
 * A listener and the tenants that it serves: the single one of the platform's file, or many.
 *
 * <p>Stops in order: {@link #drain} still serves clients that connect for a while, closes each
 * connection once it is idle, and stops the loop when none is left. Runs on the loop thread.
 */
public final class Gateway {

  /**
   * From the order to stop until idle connections are closed: new ones may arrive for 0.4 s, and
   * carry requests.
   */
  private static final long LATE_ARRIVAL_WINDOW_MICROS = 500_000;

  private static final long DRAIN_CHECK_INTERVAL_MICROS = 20_000;

  /**
   * Of the descriptors: half for clients, three eighths for hosts, the rest for files, discovery
   * and the JVM.
   */
  private static final double CLIENT_SHARE = 0.5;

  private static final double HOST_SHARE = 0.375;

  private final Network network;
  private final EventLoop loop;
  private final FrontendConnections clients;
  private final BooleanSupplier backendsDrained;
  private final Runnable closeBackends;
  private final Tenant singleTenant; // null where there are many
  private boolean listenerStopped;

  /** The single tenant of a platform's file, whatever user and database clients name. */
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
   * Many tenants, each looked up by a client's startup message.
   *
   * @param drained whether no request of any tenant is open; asked repeatedly while it drains
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

  /** How many of the gateway's sockets may be connections to hosts. */
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

  /** The clients on the listener's loop: all but those of tenants on another loop. */
  public FrontendConnections clients() {
    return clients;
  }

  public SocketAddress address() throws IOException {
    return clients.address();
  }

  /** Starts the single tenant with the endpoint list as last known, then accepts clients. */
  public void start() {
    loop.updateClock(); // loading took a while, and would count against deadlines set here
    if (singleTenant != null) {
      singleTenant.start();
    }
    clients.accept();
  }

  /**
   * Applies a changed configuration to the single tenant. Only the address of discovery may change:
   * other settings are read once, at the start, and the running endpoint list is newer than the
   * file's.
   */
  public void reload(GatewayConfig next) {
    singleTenant.moveDiscovery(next.discoveryAddress());
    network
        .log()
        .println(
            "reloaded, discovery is "
                + next.discoveryAddress()
                + (next.settings().equals(singleTenant.spec().settings())
                    ? ""
                    : "; other settings hold from the next start"));
  }

  /**
   * Stops the gateway in order. New connections are accepted until all are closed and no request is
   * open; then the listener closes and the loop stops. This takes as long as it takes: the caller
   * bounds its own wait.
   */
  public void drain() {
    network.log().println("stopping");
    loop.scheduleAt(loop.nowMicros() + LATE_ARRIVAL_WINDOW_MICROS, this::stopWhenDone);
  }

  /**
   * Closes idle connections, and stops once none is left and no request is open. Until then it
   * repeats, so that clients that connect late or send nothing do not hold up the stop.
   */
  private void stopWhenDone() {
    clients.drain();
    // Asked in every pass: the question is also what makes the other loops drain.
    boolean drained = backendsDrained.getAsBoolean();
    if (!clients.isEmpty() || !drained) {
      loop.scheduleAt(loop.nowMicros() + DRAIN_CHECK_INTERVAL_MICROS, this::stopWhenDone);
      return;
    }
    if (!listenerStopped) {
      // A connection may have been accepted meanwhile: it is served before the end.
      listenerStopped = true;
      clients.stopAccepting(this::stopWhenDone);
      return;
    }
    close();
    network.log().println(network.counters());
    loop.stop();
  }

  /** Closes every socket at once; on the loop thread, or after it has ended. */
  public void close() {
    clients.close();
    closeBackends.run();
  }
}

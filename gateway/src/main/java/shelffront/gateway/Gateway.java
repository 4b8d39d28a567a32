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

/** A listener with the tenants behind it: the single one of the platform's file, or many. */
public final class Gateway {

  /**
   * Connections arrive for 0.4 s after the order to stop; those that stay idle longer are closed.
   */
  private static final long LAST_ARRIVALS_MICROS = 500_000;

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
  private boolean listenerStopped; // takes no connections any more

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
   * Many tenants behind a door.
   *
   * @param drained asked while it drains, until it says that nothing is open behind the door
   * @param closing closes all that is behind the door
   */
  public Gateway(
      Network network,
      InetSocketAddress listen,
      int sockets,
      TenantLookup door,
      BooleanSupplier drained,
      Runnable closing)
      throws IOException {
    this.network = network;
    this.closeBackends = closing;
    loop = network.loop();
    singleTenant = null;
    clients = new FrontendConnections(network, listen, clientConnectionLimit(sockets), door);
    backendsDrained = drained;
  }

  /** Of so many descriptors, those for connections to hosts. */
  public static int hostConnectionLimit(int sockets) {
    return (int) (sockets * HOST_SHARE);
  }

  private static int clientConnectionLimit(int sockets) {
    return (int) (sockets * CLIENT_SHARE);
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

  /** The listener's clients: those who have not named a tenant that lives on another loop. */
  public FrontendConnections clients() {
    return clients;
  }

  public SocketAddress address() throws IOException {
    return clients.address();
  }

  /** Starts the module with the list as this gateway last had it, then takes clients in. */
  public void start() {
    loop.updateClock(); // Loading took a while: time limits set here would else be over at once.
    if (singleTenant != null) {
      singleTenant.start();
    }
    clients.accept();
  }

  /**
   * Takes up a configuration that replaces the running one. Only discovery's address may change
   * under way: the rest is told to the module and the sockets once, and the list that runs is newer
   * than the file's.
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

  /** Finishes what was taken and what still comes in, then stops the loop. */
  public void drain() {
    network.log().println("stopping");
    loop.scheduleAt(loop.nowMicros() + LAST_ARRIVALS_MICROS, this::stopWhenDone);
  }

  /**
   * Guards against a connection that says nothing, or comes last of all, holding up the end until
   * SIGKILL.
   */
  private void stopWhenDone() {
    clients.drain();
    // Asked each time: what lives on other loops drains by being asked, and until then is not empty
    // here.
    boolean drained = backendsDrained.getAsBoolean();
    if (!clients.isEmpty() || !drained) {
      loop.scheduleAt(loop.nowMicros() + DRAIN_CHECK_INTERVAL_MICROS, this::stopWhenDone);
      return;
    }
    if (!listenerStopped) {
      // A connection may have been accepted since the last turn: it is served before the end.
      listenerStopped = true;
      clients.stopAccepting(this::stopWhenDone);
      return;
    }
    close();
    network.log().println(network.counters());
    loop.stop();
  }

  /** Gives back every socket; on the loop thread, or after it has ended. */
  public void close() {
    clients.close();
    closeBackends.run();
  }
}

package shelffront.tenant;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import shelffront.backend.BackendConnections;
import shelffront.config.EndpointList;
import shelffront.discovery.DiscoveryClient;
import shelffront.net.CloseReason;
import shelffront.routing.Availability;
import shelffront.routing.Endpoint;
import shelffront.routing.EndpointUpdateKind;
import shelffront.routing.Router;

/**
 * Maintains the endpoint list of one tenant, from discovery or from its specification. Each update
 * is passed to the connections first and then to the router. An endpoint drained by an
 * administrator is reported to the router as draining, whatever the list says. Confined to the
 * event loop.
 */
final class TenantEndpoints implements DiscoveryClient.Listener {

  /**
   * Delay before a failed watch of a pushed list is reopened. It is short because the discovery
   * agent is nearby and a request to it is cheap.
   */
  private static final long WATCH_RETRY_DELAY_MICROS = 100_000;

  private final TenantContext context;
  private final Router router;
  private final BackendConnections backends;
  private final DiscoveryClient discovery; // null if the specification contains the list
  private EndpointList list; // as last received, without the drains set by administrators

  /** Whether the next list is the first one of another discovery service. */
  private boolean serviceChanged;

  TenantEndpoints(TenantContext context, Router router, BackendConnections backends) {
    this.context = context;
    this.router = router;
    this.backends = backends;
    TenantSpec spec = context.spec();
    discovery =
        spec.discoveryAddress() == null
            ? null
            : new DiscoveryClient(
                context.network(), spec.discoveryAddress(), spec.endpoints().revision(), this);
    list = spec.endpoints();
  }

  // ---- Lifecycle

  /** Passes the last known list to the connections. */
  void start() {
    backends.updateEndpoints(list);
  }

  /** Passes the last known list to the router in a separate event loop task. */
  void postCachedList() {
    // In the same task, the first connections to hosts would be past their deadline before the loop
    // processes them.
    context.network().post(() -> updateRouter(EndpointUpdateKind.CACHED, list));
  }

  /**
   * After a suspension: opens the watch from the start or, without discovery, passes the list of
   * the specification, which may have been replaced meanwhile, to the connections and the router.
   */
  void resume() {
    if (discovery != null) {
      discovery.watchFromStart();
    } else {
      publishSnapshot();
    }
  }

  /**
   * Removes all endpoints from the router, whose knowledge of them would be outdated by the time
   * the tenant is resumed.
   */
  void removeEndpointsFromRouter() {
    // With an empty list the router keeps the positions of sessions.
    router.onEndpoints(
        context.nowMicros(), EndpointUpdateKind.SNAPSHOT, list.revision(), List.of());
  }

  /** Makes the router forget positions and roles, which are those of other hosts. */
  private void forgetHosts() {
    removeEndpointsFromRouter();
    router.onRoleReportsMissed(context.nowMicros());
  }

  void stopWatch() {
    if (discovery != null) {
      discovery.watch(false);
    }
  }

  void close(CloseReason reason) {
    if (discovery != null) {
      discovery.close(reason);
    }
  }

  // ---- Changes by administrators

  /** Whether a specification contains a different discovery address than the one in use. */
  boolean isDiscoveryChangedBy(TenantSpec next) {
    return discovery != null && !next.discoveryAddress().equals(context.spec().discoveryAddress());
  }

  /** Changes the address of the discovery service, which goes on numbering its list. */
  void changeDiscoveryAddress(InetSocketAddress address) {
    discovery.changeAddress(address);
  }

  /** Changes to another discovery service, whose list replaces the present one. */
  void changeDiscoveryService(InetSocketAddress address) {
    serviceChanged = true;
    discovery.changeService(address);
  }

  /** Replaces the list of the specification. An id with another address names another host. */
  void replaceList(EndpointList next) {
    boolean hostsReplaced =
        list.addresses().entrySet().stream()
            .anyMatch(former -> hasOtherAddress(next, former.getKey(), former.getValue()));
    list = next;
    if (hostsReplaced) {
      forgetHosts();
    }
  }

  private static boolean hasOtherAddress(
      EndpointList list, String endpointId, InetSocketAddress address) {
    return !list.addresses().getOrDefault(endpointId, address).equals(address);
  }

  /** Passes the whole list to the connections and to the router. */
  void publishSnapshot() {
    backends.updateEndpoints(list);
    updateRouter(EndpointUpdateKind.SNAPSHOT, list);
  }

  // ---- From discovery

  @Override
  public void onEndpoints(EndpointList update) {
    if (serviceChanged) {
      serviceChanged = false;
      forgetHosts();
    }
    list = list.apply(update);
    backends.updateEndpoints(update);
    updateRouter(
        update.complete() ? EndpointUpdateKind.SNAPSHOT : EndpointUpdateKind.DELTA, update);
  }

  @Override
  public void onDiscoveryFailed() {
    if (!context.state().isRunning()) {
      return;
    }
    if (context.spec().settings().endpointList().polled()) {
      router.onEndpoints(context.nowMicros(), EndpointUpdateKind.FAILED, 0, List.of());
    } else {
      context
          .loop()
          .scheduleAt(context.nowMicros() + WATCH_RETRY_DELAY_MICROS, this::watchPushedList);
    }
  }

  private void updateRouter(EndpointUpdateKind kind, EndpointList update) {
    Set<String> drained = context.spec().drainedEndpoints();
    List<Endpoint> endpoints =
        drained.isEmpty()
            ? update.endpoints()
            : update.endpoints().stream().map(endpoint -> withDrain(endpoint, drained)).toList();
    router.onEndpoints(context.nowMicros(), kind, update.revision(), endpoints);
  }

  private static Endpoint withDrain(Endpoint endpoint, Set<String> drained) {
    return drained.contains(endpoint.id()) && endpoint.availability() == Availability.READY
        ? endpoint.withAvailability(Availability.DRAINING)
        : endpoint;
  }

  // ---- Watching

  /**
   * Opens the watch if the list is pushed and no watch is open. In this mode the router does not
   * request a watch, but over the network a pushed list is still received through one.
   */
  void watchPushedList() {
    if (context.state().isRunning()
        && discovery != null
        && !context.spec().settings().endpointList().polled()
        && !discovery.isOpen()) {
      discovery.watch(true);
    }
  }

  /** Starts or stops the watch at the request of the router. */
  void watch(boolean enabled) {
    // An open watch is not restarted: since the watch failed, a change of the discovery address may
    // have opened a new one.
    if (discovery != null && context.state().isRunning() && !(enabled && discovery.isOpen())) {
      discovery.watch(enabled);
    }
  }

  void fetch() {
    discovery.fetchEndpoints();
  }
}

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
 * The endpoint list of one tenant and the discovery client that it comes from, if it comes from
 * one. Passes each update on to the connections, then to the router; an endpoint that an
 * administrator has drained is draining, whatever the list says. On the loop thread.
 */
final class TenantEndpoints implements DiscoveryClient.Listener {

  /** After a watch on a pushed list broke: its agent is near and answers at no cost. */
  private static final long WATCH_RETRY_MICROS = 100_000;

  private final TenantContext context;
  private final Router router;
  private final BackendConnections backends;
  private final DiscoveryClient discovery; // null where the list is given by the specification
  private EndpointList list; // as last received, before what administrators drained

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

  // ---- Life

  /** Gives the connections the list as last known. */
  void start() {
    backends.updateEndpoints(list);
  }

  /** Gives the router the list as last known, in a later turn. */
  void postCachedList() {
    // In a turn of its own: the first connections to hosts would else be late before the loop
    // looks at them.
    context.network().post(() -> updateRouter(EndpointUpdateKind.CACHED, list));
  }

  /** Learns the list anew after the tenant was suspended. */
  void resume() {
    if (discovery != null) {
      discovery.watchFromStart();
    } else {
      updateRouter(EndpointUpdateKind.SNAPSHOT, list);
    }
  }

  /** Has the router forget its endpoints: what it knows of them will be old at the resumption. */
  void clearRouter() {
    // An empty list leaves the router its sessions' positions.
    router.onEndpoints(
        context.nowMicros(), EndpointUpdateKind.SNAPSHOT, list.revision(), List.of());
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

  /** Whether a specification names another discovery service than the one in use. */
  boolean isDiscoveryChangedBy(TenantSpec next) {
    return discovery != null && !next.discoveryAddress().equals(context.spec().discoveryAddress());
  }

  void changeDiscoveryAddress(InetSocketAddress address) {
    discovery.changeAddress(address);
  }

  void replaceList(EndpointList next) {
    list = next;
  }

  /** Gives the connections and the router the whole list again. */
  void publishSnapshot() {
    backends.updateEndpoints(list);
    updateRouter(EndpointUpdateKind.SNAPSHOT, list);
  }

  // ---- From discovery

  @Override
  public void onEndpoints(EndpointList update) {
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
      context.loop().scheduleAt(context.nowMicros() + WATCH_RETRY_MICROS, this::watchPushedList);
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
   * Opens the watch where lists are pushed: the router asks for none then, but on sockets they come
   * by a watch all the same.
   */
  void watchPushedList() {
    if (context.state().isRunning()
        && discovery != null
        && !context.spec().settings().endpointList().polled()
        && !discovery.isOpen()) {
      discovery.watch(true);
    }
  }

  /** As the router asks. */
  void watch(boolean enabled) {
    // One that stands is not begun anew: a move to another address may have come between its
    // failure and now.
    if (discovery != null && context.state().isRunning() && !(enabled && discovery.isOpen())) {
      discovery.watch(enabled);
    }
  }

  void fetch() {
    discovery.fetchEndpoints();
  }
}

package shelffront.tenant;

import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import shelffront.frontend.ClientHandle;
import shelffront.frontend.RequestHandler;
import shelffront.net.CloseReason;
import shelffront.net.EventLoop.Deadline;
import shelffront.net.Network;
import shelffront.pg.ProtocolException;
import shelffront.pg.SqlState;
import shelffront.quota.ConnectionQuotas;
import shelffront.quota.TenantQuotas;
import shelffront.request.ClientRequest;
import shelffront.routing.Request;
import shelffront.routing.RequestClass;
import shelffront.routing.RoleReport;
import shelffront.time.ShutdownSchedule;

/**
 * One tenant served by a gateway: its lifecycle, its clients and the admission of their requests.
 * {@link TenantRouting} serves the admitted requests. Confined to the event loop.
 *
 * <p>A tenant without clients is suspended: it has no connection, no watch and no timer, and its
 * router receives no events. The router keeps the positions of sessions but drops its knowledge of
 * endpoints, which it acquires again when the tenant is resumed.
 */
public final class Tenant implements RequestHandler {

  private static final long DRAIN_CHECK_INTERVAL_MICROS = 20_000;

  /** Time without clients after which a tenant of a shared gateway is suspended. */
  private static final long SUSPENSION_DELAY_MICROS = 30_000_000;

  /** Time after the grace period until nothing more is read from a client that never pauses. */
  private static final long READ_AFTER_GRACE_MICROS = 1_000_000;

  /** Retry-After of requests that a shutdown ends; other gateways serve them at once. */
  private static final long SHUTDOWN_RETRY_AFTER_MICROS = 200_000;

  private final TenantContext context;
  private final long seed;
  private final ConnectionQuotas hostConnectionQuotas;
  private final RequestAdmission admission;
  private final OpenRequests requests;
  private final TenantSuccession succession = new TenantSuccession();
  private final Set<ClientHandle> clients = new LinkedHashSet<>();
  private TenantRouting routing; // null until the first client connects
  private Deadline suspension;

  /** Current resource usage of a tenant, and its event counters since the start. */
  public record Usage(
      int clientConnections,
      int openRequests,
      long hostConnections,
      long bufferBytes,
      Map<String, Long> counters) {}

  /**
   * Creates a suspended tenant.
   *
   * @param hostConnectionQuotas divides the host connections among tenants
   * @param quotas divides the request capacity among tenants; null for the only tenant of a gateway
   */
  public Tenant(
      Network network,
      TenantSpec spec,
      long seed,
      ConnectionQuotas hostConnectionQuotas,
      TenantQuotas quotas) {
    context = new TenantContext(network, spec);
    this.seed = seed;
    this.hostConnectionQuotas = hostConnectionQuotas;
    admission = new RequestAdmission(context, quotas);
    requests = new OpenRequests(admission);
  }

  public TenantSpec spec() {
    return context.spec();
  }

  boolean hasNoClients() {
    return clients.isEmpty();
  }

  /** Returns the current usage and the counters since the start. */
  public Usage usage() {
    return new Usage(
        clients.size(),
        requests.size(),
        routing == null ? 0 : routing.openHostConnections(),
        context.network().budget().held(),
        context.network().counters().values());
  }

  // ---- Succession

  TenantSuccession succession() {
    return succession;
  }

  /**
   * Reports what a host has told the predecessor about its role. A router that starts later needs
   * no report from before its start.
   */
  void onPredecessorReport(String endpointId, RoleReport report) {
    succession.report(endpointId, report);
    if (routing != null) {
      routing.onPredecessorReport(endpointId, report);
    }
  }

  /** Reports that the predecessor may have received role reports that were not passed on. */
  void onRoleReportsMissed() {
    if (routing != null) {
      routing.onRoleReportsMissed();
    }
  }

  // ---- Lifecycle

  /**
   * Starts the router with the last known endpoint list, or resumes it. Does nothing unless the
   * tenant is suspended.
   */
  public void start() {
    if (context.state() != TenantState.SUSPENDED) {
      return;
    }
    context.setState(TenantState.ACTIVE);
    if (routing == null) {
      routing = new TenantRouting(context, requests, hostConnectionQuotas, succession::report);
      routing.start(seed, succession.hasPredecessor());
    } else {
      routing.resume();
    }
  }

  /** Suspends the tenant, or tries again later while a request is open. */
  private void suspend() {
    suspension = null;
    if (!requests.isEmpty()) {
      scheduleSuspension(); // open attempts end within their deadlines
      return;
    }
    routing.endpoints().removeEndpointsFromRouter();
    routing.onRoleReportsMissed();
    // The state must change before the connections are closed, because only then are the actions
    // ignored with which the router reacts to their closing.
    context.setState(TenantState.SUSPENDED);
    routing.suspend();
  }

  private void scheduleSuspension() {
    suspension =
        context.loop().scheduleAt(context.nowMicros() + SUSPENSION_DELAY_MICROS, this::suspend);
  }

  /**
   * Applies a changed specification to the running tenant.
   *
   * @return false, with nothing changed, if the specification requires a new router and therefore a
   *     new tenant
   */
  public boolean update(TenantSpec next) {
    TenantSpec previous = context.spec();
    if (routing != null && !previous.canUpdateInPlaceTo(next)) {
      return false;
    }
    boolean discoveryChanged = routing != null && routing.endpoints().isDiscoveryChangedBy(next);
    boolean listChanged =
        next.discoveryAddress() == null && !next.endpoints().equals(previous.endpoints());
    boolean drainsChanged = !next.drainedEndpoints().equals(previous.drainedEndpoints());
    context.setSpec(next);
    updateLimits(next);
    if (routing != null) {
      updateEndpoints(next, discoveryChanged, listChanged, drainsChanged);
    }
    return true;
  }

  private void updateLimits(TenantSpec next) {
    admission.updateRateLimit(next.bounds());
    context.network().budget().updateLimit(next.bounds().bufferBytes());
    if (routing != null) {
      routing.updateQuota(next);
    }
    context.network().taskFlow().setWeight(next.weight());
    admission.updateWeights(next);
  }

  private void updateEndpoints(
      TenantSpec next, boolean discoveryChanged, boolean listChanged, boolean drainsChanged) {
    TenantEndpoints endpoints = routing.endpoints();
    if (discoveryChanged) {
      endpoints.changeDiscoveryService(next.discoveryAddress());
    }
    if (listChanged) {
      endpoints.replaceList(next.endpoints());
    }
    if (context.state() != TenantState.SUSPENDED && (listChanged || drainsChanged)) {
      endpoints.publishSnapshot();
    }
  }

  /** Changes the address of the discovery service. */
  public void changeDiscoveryAddress(InetSocketAddress address) {
    routing.endpoints().changeDiscoveryAddress(address);
  }

  /** Closes all connections to hosts and discovery, and cancels the timers. */
  public void close(CloseReason reason) {
    if (routing != null) {
      routing.close(reason);
    }
    if (suspension != null) {
      suspension.cancel();
    }
  }

  /**
   * Continues a drain of the gateway: ends the requests that are still open at the end of the
   * schedule.
   *
   * @return whether no request waits for its response or has an outstanding attempt
   */
  public boolean drain(ShutdownSchedule schedule) {
    if (context.nowMicros() >= schedule.answerByMicros()) {
      long retryAfterMicros =
          context.spec().settings().limits().retryAfterMicros(SHUTDOWN_RETRY_AFTER_MICROS);
      abortOpenRequests(client -> client.onRejected(retryAfterMicros));
    }
    return requests.isEmpty();
  }

  // ---- Removal

  /**
   * Removes the tenant from service. New requests are rejected at once. Admitted requests may
   * finish within the grace period; those left after it are ended, and all resources are released.
   * Each client's connection ends once every request that was read on it has its response.
   */
  public void remove(long graceMicros, Runnable onRemoved) {
    if (context.state().isEnding()) {
      return;
    }
    succession.onRemoved(onRemoved);
    if (routing == null) {
      context.setState(TenantState.REMOVED);
      completeRemoval();
      return;
    }
    context.setState(TenantState.DRAINING);
    if (suspension != null) {
      suspension.cancel();
    }
    long untilMicros = context.nowMicros() + graceMicros;
    long readUntilMicros = untilMicros + READ_AFTER_GRACE_MICROS;
    for (ClientHandle client : List.copyOf(clients)) {
      client.endWhenAnswered(removalError(), CloseReason.TENANT_GONE, readUntilMicros);
    }
    context.loop().scheduleAt(context.nowMicros(), () -> checkDrained(untilMicros));
  }

  private void checkDrained(long untilMicros) {
    long nowMicros = context.nowMicros();
    if (!requests.areAllCompleted() && nowMicros < untilMicros) {
      long nextCheckMicros = Math.min(untilMicros, nowMicros + DRAIN_CHECK_INTERVAL_MICROS);
      context.loop().scheduleAt(nextCheckMicros, () -> checkDrained(untilMicros));
      return;
    }
    context.setState(TenantState.REMOVED);
    abortOpenRequests(ClientRequest.ResponseListener::onUnavailable);
    close(CloseReason.TENANT_GONE);
    requests.clear();
    completeRemoval();
  }

  /**
   * Ends all open requests. The router is told that their clients have disconnected, so that it
   * cancels outstanding attempts and does not count the requests any more.
   */
  private void abortOpenRequests(Consumer<ClientRequest.ResponseListener> rejection) {
    requests.abortAll(requestClasses(), id -> routing.onClientDisconnected(id), rejection);
  }

  private void completeRemoval() {
    admission.unregister();
    succession.removalCompleted();
  }

  private static ProtocolException removalError() {
    return new ProtocolException(SqlState.CANNOT_CONNECT_NOW, "the database is being removed");
  }

  // ---- Clients

  @Override
  public Network network() {
    return context.network();
  }

  @Override
  public List<RequestClass> requestClasses() {
    return context.spec().settings().requestClasses();
  }

  @Override
  public int clientCount() {
    return clients.size();
  }

  @Override
  public long retryAfterMicros() {
    return admission.retryAfterWithoutMemoryMicros();
  }

  /** Throws the error to send to a new client if the tenant does not accept one now. */
  void checkAdmission() throws ProtocolException {
    if (context.state().isEnding()) {
      throw removalError();
    }
    if (clients.size() >= context.spec().bounds().clientConnections()) {
      throw new ProtocolException(
          SqlState.TOO_MANY_CONNECTIONS, "the database has too many connections");
    }
  }

  @Override
  public void onClientConnected(ClientHandle client) {
    clients.add(client);
    if (suspension != null) {
      suspension.cancel();
      suspension = null;
    }
    start();
  }

  @Override
  public void onClientClosed(ClientHandle client) {
    clients.remove(client);
    if (clients.isEmpty() && admission.isShared() && context.state() == TenantState.ACTIVE) {
      scheduleSuspension();
    }
  }

  // ---- Requests

  /** Rejects a request whose id is already in use by an open request. */
  @Override
  public void validate(ClientRequest request) throws ProtocolException {
    if (requests.contains(request.id)) {
      throw new ProtocolException(SqlState.DUPLICATE_OBJECT, "a request with this id is open");
    }
  }

  @Override
  public void handle(
      ClientRequest request,
      String session,
      int replicaSet,
      long requiredPositionMicros,
      boolean repeat) {
    if (context.state().isEnding()) {
      request.responseListener.onUnavailable();
      return;
    }
    long waitMicros = admission.admit(request.classIndex, requests.size());
    if (waitMicros > 0) {
      request.responseListener.onRejected(
          context.spec().settings().limits().retryAfterMicros(waitMicros));
      return;
    }
    requests.add(request);
    long nowMicros = context.nowMicros();
    routing.onRequest(
        new Request(
            request.id,
            request.classIndex,
            session,
            replicaSet,
            request.deadlineMicros - nowMicros,
            Math.max(requiredPositionMicros, succession.requiredPositionMicros(nowMicros)),
            repeat,
            request.statement.value("k")));
  }

  @Override
  public void onRequestAbandoned(ClientRequest request) {
    if (requests.get(request.id) == request && !request.completed) {
      request.completed = true;
      routing.onClientDisconnected(request.id);
      requests.complete(request, listener -> {});
    }
  }
}

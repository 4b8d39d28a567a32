package shelffront.tenant;

import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
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

/**
 * One tenant while a gateway serves it: its life, its clients and the admission of their requests.
 * {@link TenantRouting} serves what is admitted. All on the loop thread.
 *
 * <p>A tenant without clients is suspended: it has no connection, no watch and no timer, and its
 * router sees no events. What the router knows of sessions' writes stays; of endpoints it knows
 * nothing when the tenant is resumed, and learns it anew.
 */
public final class Tenant implements RequestHandler {

  private static final long DRAIN_CHECK_INTERVAL_MICROS = 20_000;

  /** Without a client for so long, a tenant of a shared gateway is suspended. */
  private static final long SUSPEND_AFTER_MICROS = 30_000_000;

  private final TenantContext context;
  private final long seed;
  private final ConnectionQuotas hostConnectionQuotas;
  private final RequestAdmission admission;
  private final OpenRequests requests;
  private final PredecessorTracker predecessor = new PredecessorTracker();
  private final Set<ClientHandle> clients = new LinkedHashSet<>();
  private TenantRouting routing; // null until its first client
  private Deadline suspension;
  private Runnable whenRemoved;
  private boolean removalComplete; // nothing of it remains

  /** Counts of the moment, and counters since the start. */
  public record Usage(
      int clientConnections,
      int openRequests,
      long hostConnections,
      long bufferBytes,
      Map<String, Long> counters) {}

  /**
   * Makes a suspended tenant.
   *
   * @param hostConnectionQuotas divides the connections to hosts
   * @param quotas divides requests; null for a tenant that has the gateway to itself
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

  /** Whether nothing that was admitted is open, answers and attempts alike. */
  public boolean hasNoOpenRequests() {
    return requests.isEmpty();
  }

  boolean hasNoClients() {
    return clients.isEmpty();
  }

  /** What it uses now and what it has done since the start. */
  public Usage usage() {
    return new Usage(
        clients.size(),
        requests.size(),
        routing == null ? 0 : routing.openHostConnections(),
        context.network().budget().held(),
        context.network().counters().values());
  }

  // ---- Predecessor

  /**
   * Another router has served this tenant: until its work is done, and for what it wrote, reads
   * must be covered.
   */
  void awaitPredecessor() {
    predecessor.begin();
  }

  void predecessorEnded() {
    predecessor.end(context.nowMicros());
    if (removalComplete) {
      whenRemoved.run();
    }
  }

  // ---- Life

  /** Starts the router with the endpoint list as last known, or resumes it. */
  public void start() {
    if (context.state() != TenantState.SUSPENDED) {
      return;
    }
    context.setState(TenantState.ACTIVE);
    if (routing == null) {
      routing = new TenantRouting(context, requests, hostConnectionQuotas);
      routing.start(seed);
    } else {
      routing.resume();
    }
  }

  /** Gives back what a tenant without clients doesn't need. */
  private void suspend() {
    suspension = null;
    if (!requests.isEmpty()) {
      scheduleSuspension(); // what is still out ends before long
      return;
    }
    routing.endpoints().clearRouter();
    // Before the connections are closed: what the router does about their end must do nothing.
    context.setState(TenantState.SUSPENDED);
    routing.suspend();
  }

  private void scheduleSuspension() {
    suspension =
        context.loop().scheduleAt(context.nowMicros() + SUSPEND_AFTER_MICROS, this::suspend);
  }

  /**
   * Takes up a changed specification. Gives false, and changes nothing, where only a new tenant
   * with a router of its own can take it up.
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
      endpoints.changeDiscoveryAddress(next.discoveryAddress());
    }
    if (listChanged) {
      endpoints.replaceList(next.endpoints());
    }
    if (context.state() != TenantState.SUSPENDED && (listChanged || drainsChanged)) {
      endpoints.publishSnapshot();
    }
  }

  /** Discovery answers elsewhere from now on. */
  public void moveDiscovery(InetSocketAddress address) {
    routing.endpoints().changeDiscoveryAddress(address);
  }

  /** Gives back every connection to hosts and discovery, and the timers. */
  public void close(CloseReason reason) {
    if (routing != null) {
      routing.close(reason);
    }
    if (suspension != null) {
      suspension.cancel();
    }
  }

  // ---- Removal

  /**
   * Takes the tenant out of service: new requests are rejected at once, what was admitted goes on
   * for the grace, then the rest is answered too and nothing of it remains.
   */
  public void remove(long graceMicros, Runnable then) {
    if (context.state().isEnding()) {
      return;
    }
    whenRemoved = then;
    if (routing == null) {
      context.setState(TenantState.REMOVED);
      completeRemoval();
      return;
    }
    context.setState(TenantState.DRAINING);
    if (suspension != null) {
      suspension.cancel();
    }
    List.copyOf(clients).forEach(this::endIfIdle);
    long untilMicros = context.nowMicros() + graceMicros;
    context.loop().scheduleAt(context.nowMicros(), () -> checkDrained(untilMicros));
  }

  private void endIfIdle(ClientHandle client) {
    if (client.isIdle()) {
      client.endWithError(beingRemoved(), CloseReason.TENANT_GONE);
    }
  }

  private void checkDrained(long untilMicros) {
    long nowMicros = context.nowMicros();
    if (!requests.areAllAnswered() && nowMicros < untilMicros) {
      long nextCheckMicros = Math.min(untilMicros, nowMicros + DRAIN_CHECK_INTERVAL_MICROS);
      context.loop().scheduleAt(nextCheckMicros, () -> checkDrained(untilMicros));
      return;
    }
    context.setState(TenantState.REMOVED);
    requests.copy().forEach(this::endUnanswered);
    List.copyOf(clients)
        .forEach(client -> client.endWithError(beingRemoved(), CloseReason.TENANT_GONE));
    close(CloseReason.TENANT_GONE);
    requests.clear();
    completeRemoval();
  }

  private void endUnanswered(ClientRequest request) {
    if (request.answered) {
      return;
    }
    // The router is told that nobody waits, so that it cancels what is out and counts nothing more.
    request.answered = true;
    routing.onClientDisconnected(request.id);
    boolean harmless =
        request.attempts.isEmpty() || requestClasses().get(request.classIndex).isIdempotent();
    requests.complete(
        request,
        harmless
            ? ClientRequest.ResponseListener::onUnavailable
            : ClientRequest.ResponseListener::onFailed);
  }

  private void completeRemoval() {
    admission.unregister();
    removalComplete = true;
    // Else whoever comes after this one would not wait for the one before it.
    if (!predecessor.isRunning()) {
      whenRemoved.run();
    }
  }

  private static ProtocolException beingRemoved() {
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

  /** Whether it takes clients; throws what one that comes now is told. */
  void checkAdmission() throws ProtocolException {
    if (context.state().isEnding()) {
      throw beingRemoved();
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

  /** Guards an open request against another one under its id. */
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
            Math.max(requiredPositionMicros, predecessor.requiredPositionMicros(nowMicros)),
            repeat));
  }

  @Override
  public void onRequestAbandoned(ClientRequest request) {
    if (requests.get(request.id) == request && !request.answered) {
      request.answered = true;
      routing.onClientDisconnected(request.id);
      requests.complete(request, listener -> {});
    }
  }
}

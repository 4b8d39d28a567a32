package shelffront.tenant;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import shelffront.backend.BackendConnections;
import shelffront.backend.BackendResponse;
import shelffront.config.EndpointList;
import shelffront.decision.RoutingEngine;
import shelffront.discovery.DiscoveryClient;
import shelffront.frontend.ClientHandle;
import shelffront.frontend.RequestHandler;
import shelffront.net.CloseReason;
import shelffront.net.Counters;
import shelffront.net.EventLoop;
import shelffront.net.EventLoop.Deadline;
import shelffront.net.Network;
import shelffront.pg.ProtocolException;
import shelffront.pg.SqlState;
import shelffront.quota.ConnectionQuotas;
import shelffront.quota.Quota;
import shelffront.quota.TenantQuotas;
import shelffront.quota.TokenBucket;
import shelffront.request.BackendAttempt;
import shelffront.request.ClientRequest;
import shelffront.routing.AttemptOutcome;
import shelffront.routing.AttemptStatus;
import shelffront.routing.Availability;
import shelffront.routing.Endpoint;
import shelffront.routing.EndpointUpdateKind;
import shelffront.routing.Request;
import shelffront.routing.RequestClass;
import shelffront.routing.Router;
import shelffront.routing.RouterActions;

/**
 * One running tenant: passes the events of its clients, backend connections and discovery to its
 * {@link Router}, and carries out the actions that the router decides on. Runs on the thread of the
 * tenant's event loop.
 *
 * <p>A tenant without clients is suspended: it has no connection, no watch and no timer, and its
 * router gets no events. The router keeps the positions of the sessions' last writes; what it knew
 * of endpoints is dropped, and learnt again once the tenant is resumed.
 */
public final class Tenant
    implements RouterActions,
        RequestHandler,
        BackendConnections.Listener,
        DiscoveryClient.Listener {

  /** Least Retry-After of a request beyond the tenant's bound of open requests or of its rate. */
  private static final long BUSY_RETRY_AFTER_MICROS = 200_000;

  private static final long DRAIN_CHECK_INTERVAL_MICROS = 20_000;

  /** Delay before a failed watch of a pushed list is started again; its agent is near. */
  private static final long WATCH_RETRY_DELAY_MICROS = 100_000;

  /** A tenant of a shared gateway is suspended after this time without a client. */
  private static final long SUSPEND_AFTER_MICROS = 30_000_000;

  private enum State {
    SUSPENDED,
    ACTIVE,
    DRAINING,
    REMOVED
  }

  private final Network network;
  private final EventLoop loop;
  private final long seed;
  private final TenantQuotas quotas; // null where it has the gateway to itself
  private final Quota quota;
  private final ConnectionQuotas hostConnectionQuotas;
  private final TokenBucket rateLimit;
  private TenantSpec spec;
  private State state = State.SUSPENDED;
  private Router router;
  private BackendConnections backends;
  private DiscoveryClient discovery;
  private EndpointList endpoints; // as last listed; does not show what administrators drained

  /** When the router's timer is due, for a tenant that resumes; 0 where none is set. */
  private long suspendedTimerAtMicros;

  private Deadline routerTimer;
  private Deadline suspendDeadline;
  private Runnable onRemoved;
  private boolean removalComplete;

  /** Another router of this tenant still has open requests, which may write. */
  private boolean predecessorActive;

  /** Writes before this time may have been sent by another router; 0 where there was none. */
  private long predecessorEndedAtMicros;

  /** By id; those that are not answered yet, or have an attempt without an outcome. */
  private final Map<String, ClientRequest> openRequests = new HashMap<>();

  private final Set<ClientHandle> clients = new LinkedHashSet<>();

  /**
   * A suspended tenant.
   *
   * @param hostQuotas connections to hosts, shared by all tenants
   * @param tenantQuotas null for the only tenant of a gateway
   */
  public Tenant(
      Network network,
      TenantSpec spec,
      long seed,
      ConnectionQuotas hostQuotas,
      TenantQuotas tenantQuotas) {
    this.network = network;
    this.loop = network.loop();
    this.spec = spec;
    this.seed = seed;
    this.hostConnectionQuotas = hostQuotas;
    this.quotas = tenantQuotas;
    quota = tenantQuotas == null ? null : tenantQuotas.register(spec.weight(), spec.classWeights());
    rateLimit =
        new TokenBucket(spec.bounds().requestsPerSecond(), spec.bounds().burst(), loop.nowMicros());
  }

  public TenantSpec spec() {
    return spec;
  }

  /**
   * Another router has served this tenant. Until {@link #predecessorEnded}, session reads must see
   * all writes up to now, since that router may still send some.
   */
  void awaitPredecessor() {
    predecessorActive = true;
  }

  void predecessorEnded() {
    predecessorActive = false;
    predecessorEndedAtMicros = loop.nowMicros();
    if (removalComplete) {
      onRemoved.run();
    }
  }

  // Lifecycle

  /** Starts the router with the list as last known, or resumes it; no effect while it runs. */
  public void start() {
    if (state != State.SUSPENDED) {
      return;
    }
    state = State.ACTIVE;
    boolean first = router == null;
    if (first) {
      router = new RoutingEngine(this);
      backends =
          new BackendConnections(
              network,
              spec.settings().limits(),
              hostConnectionQuotas,
              spec.weight(),
              spec.bounds().hostConnections(),
              spec.login(),
              this);
      if (spec.discoveryAddress() != null) {
        discovery =
            new DiscoveryClient(
                network, spec.discoveryAddress(), spec.endpoints().revision(), this);
      }
      endpoints = spec.endpoints();
      backends.updateEndpoints(endpoints);
      router.onStart(loop.nowMicros(), seed, spec.settings());
      watchPushedEndpoints();
      // Posted as a task of its own, so that the time that the start took does not count against
      // the deadlines of the first connections to hosts.
      network.post(() -> updateRouterEndpoints(EndpointUpdateKind.CACHED, endpoints));
      return;
    }
    if (discovery != null) {
      discovery.watchFromStart();
    } else {
      updateRouterEndpoints(EndpointUpdateKind.SNAPSHOT, endpoints);
    }
    if (suspendedTimerAtMicros != 0) {
      setTimer("wake", suspendedTimerAtMicros);
    }
  }

  /** Releases connections, watch and timer; postponed while a request is open. */
  private void suspend() {
    suspendDeadline = null;
    if (!openRequests.isEmpty()) {
      suspendDeadline = loop.scheduleAt(loop.nowMicros() + SUSPEND_AFTER_MICROS, this::suspend);
      return;
    }
    // An empty list makes the router forget its endpoints, and keep its sessions' positions.
    router.onEndpoints(
        loop.nowMicros(), EndpointUpdateKind.SNAPSHOT, endpoints.revision(), List.of());
    state = State.SUSPENDED;
    if (discovery != null) {
      discovery.watch(false);
    }
    backends.closeAll(CloseReason.IDLE);
    if (routerTimer != null) {
      routerTimer.cancel();
      routerTimer = null;
    }
  }

  /**
   * Applies a changed spec.
   *
   * @return false, with nothing changed, where only a new router can apply it
   */
  public boolean update(TenantSpec next) {
    if (router != null && !spec.canUpdateInPlaceTo(next)) {
      return false;
    }
    boolean discoveryMoved =
        discovery != null && !next.discoveryAddress().equals(spec.discoveryAddress());
    boolean listChanged =
        next.discoveryAddress() == null && !next.endpoints().equals(spec.endpoints());
    boolean drainedChanged = !next.drainedEndpoints().equals(spec.drainedEndpoints());
    spec = next;
    rateLimit.reconfigure(
        next.bounds().requestsPerSecond(), next.bounds().burst(), loop.nowMicros());
    network.budget().updateLimit(next.bounds().bufferBytes());
    if (backends != null) {
      backends.updateQuota(next.weight(), next.bounds().hostConnections());
    }
    network.taskFlow().setWeight(next.weight());
    if (quota != null) {
      quotas.updateWeights(quota, next.weight(), next.classWeights());
    }
    if (discoveryMoved) {
      discovery.changeAddress(next.discoveryAddress());
    }
    if (listChanged) {
      endpoints = next.endpoints();
    }
    if (router != null && state != State.SUSPENDED && (listChanged || drainedChanged)) {
      backends.updateEndpoints(endpoints);
      updateRouterEndpoints(EndpointUpdateKind.SNAPSHOT, endpoints);
    }
    return true;
  }

  /**
   * Takes the tenant out of service: rejects new requests from now on, lets open ones go on for the
   * grace period, then answers the rest and closes every connection.
   *
   * @param removedListener called once, when nothing of the tenant is left
   */
  public void remove(long graceMicros, Runnable removedListener) {
    if (state == State.DRAINING || state == State.REMOVED) {
      return;
    }
    onRemoved = removedListener;
    if (router == null) {
      state = State.REMOVED;
      completeRemoval();
      return;
    }
    state = State.DRAINING;
    if (suspendDeadline != null) {
      suspendDeadline.cancel();
    }
    List.copyOf(clients).forEach(this::closeIfIdle);
    long deadlineMicros = loop.nowMicros() + graceMicros;
    loop.scheduleAt(loop.nowMicros(), () -> continueRemoval(deadlineMicros));
  }

  private void continueRemoval(long deadlineMicros) {
    boolean allAnswered = openRequests.values().stream().allMatch(open -> open.answered);
    if (!allAnswered && loop.nowMicros() < deadlineMicros) {
      loop.scheduleAt(
          Math.min(deadlineMicros, loop.nowMicros() + DRAIN_CHECK_INTERVAL_MICROS),
          () -> continueRemoval(deadlineMicros));
      return;
    }
    state = State.REMOVED;
    for (ClientRequest request : List.copyOf(openRequests.values())) {
      if (!request.answered) {
        // The router then cancels the attempts that are out.
        request.answered = true;
        router.onClientDisconnected(loop.nowMicros(), request.id);
        boolean harmlessToRepeat =
            request.attempts.isEmpty()
                || spec.settings().requestClasses().get(request.classIndex).isIdempotent();
        sendAnswer(
            harmlessToRepeat
                ? ClientRequest.ResponseListener::onUnavailable
                : ClientRequest.ResponseListener::onFailed,
            request);
      }
    }
    List.copyOf(clients)
        .forEach(client -> client.endWithError(removedException(), CloseReason.TENANT_GONE));
    close(CloseReason.TENANT_GONE);
    openRequests.clear();
    completeRemoval();
  }

  private void completeRemoval() {
    if (quota != null) {
      quotas.unregister(quota);
    }
    removalComplete = true;
    // A successor must also wait for the predecessor of this one: see predecessorEnded.
    if (!predecessorActive) {
      onRemoved.run();
    }
  }

  private static ProtocolException removedException() {
    return new ProtocolException(SqlState.CANNOT_CONNECT_NOW, "the database is being removed");
  }

  private void closeIfIdle(ClientHandle client) {
    if (client.isIdle()) {
      client.endWithError(removedException(), CloseReason.TENANT_GONE);
    }
  }

  /** Closes every connection to hosts and discovery, and cancels the timers. */
  public void close(CloseReason reason) {
    if (discovery != null) {
      discovery.close(reason);
    }
    if (backends != null) {
      backends.closeAll(reason);
    }
    if (routerTimer != null) {
      routerTimer.cancel();
    }
    if (suspendDeadline != null) {
      suspendDeadline.cancel();
    }
  }

  /** Whether its router gets events: it is neither suspended nor removed. */
  private boolean isRunning() {
    return state == State.ACTIVE || state == State.DRAINING;
  }

  /** Whether it has no client. */
  boolean hasNoClients() {
    return clients.isEmpty();
  }

  /** Whether every request was answered and every attempt has ended. */
  public boolean hasNoOpenRequests() {
    return openRequests.isEmpty();
  }

  /** Changes the address of discovery. */
  public void moveDiscovery(InetSocketAddress to) {
    discovery.changeAddress(to);
  }

  /** Resources in use now, and counters since the start. */
  public Usage usage() {
    return new Usage(
        clients.size(),
        openRequests.size(),
        backends == null ? 0 : backends.openConnectionCount(),
        network.budget().held(),
        network.counters().values());
  }

  /** Resources in use at one moment, and counters since the start. */
  public record Usage(
      int clientConnections,
      int openRequests,
      long hostConnections,
      long bufferBytes,
      Map<String, Long> counters) {}

  // Events of the frontend

  @Override
  public Network network() {
    return network;
  }

  @Override
  public List<RequestClass> requestClasses() {
    return spec.settings().requestClasses();
  }

  @Override
  public int clientCount() {
    return clients.size();
  }

  @Override
  public void onClientConnected(ClientHandle client) {
    clients.add(client);
    if (suspendDeadline != null) {
      suspendDeadline.cancel();
      suspendDeadline = null;
    }
    start();
  }

  @Override
  public void onClientClosed(ClientHandle client) {
    clients.remove(client);
    if (clients.isEmpty() && quotas != null && state == State.ACTIVE) {
      suspendDeadline = loop.scheduleAt(loop.nowMicros() + SUSPEND_AFTER_MICROS, this::suspend);
    }
  }

  /** Throws the error that a new client is sent, where the tenant takes none. */
  void checkAdmission() throws ProtocolException {
    if (state == State.DRAINING || state == State.REMOVED) {
      throw removedException();
    }
    if (clients.size() >= spec.bounds().clientConnections()) {
      throw new ProtocolException(
          SqlState.TOO_MANY_CONNECTIONS, "the database has too many connections");
    }
  }

  /** Guards an open request against another one under its id. */
  @Override
  public void validate(ClientRequest request) throws ProtocolException {
    if (openRequests.containsKey(request.id)) {
      throw new ProtocolException(SqlState.DUPLICATE_OBJECT, "a request with this id is open");
    }
  }

  @Override
  public void handle(
      ClientRequest request,
      String session,
      int replicaSet,
      long requiredPositionMicros,
      boolean clientRetry) {
    if (state == State.DRAINING || state == State.REMOVED) {
      request.responseListener.onUnavailable();
      return;
    }
    long waitMicros = rateLimit.waitMicros(loop.nowMicros());
    if (waitMicros > 0 || openRequests.size() >= spec.bounds().openRequests()) {
      network.counters().add(Counters.Name.REFUSED_BY_LIMIT);
      request.responseListener.onRejected(
          permittedRetryAfterMicros(Math.max(waitMicros, BUSY_RETRY_AFTER_MICROS)));
      return;
    }
    long quotaWaitMicros =
        quota == null ? 0 : quotas.admit(quota, request.classIndex, loop.nowMicros());
    if (quotaWaitMicros > 0) {
      network.counters().add(Counters.Name.REFUSED_BY_SHARE);
      request.responseListener.onRejected(permittedRetryAfterMicros(quotaWaitMicros));
      return;
    }
    rateLimit.consume();
    openRequests.put(request.id, request);
    router.onRequest(
        loop.nowMicros(),
        new Request(
            request.id,
            request.classIndex,
            session,
            replicaSet,
            request.deadlineMicros - loop.nowMicros(),
            Math.max(requiredPositionMicros, predecessorPositionMicros()),
            clientRetry));
  }

  /**
   * Position up to which another router may have written for any session; {@link Router#UNKNOWN}
   * where there was none.
   */
  private long predecessorPositionMicros() {
    return predecessorActive
        ? loop.nowMicros()
        : predecessorEndedAtMicros > 0 ? predecessorEndedAtMicros : Router.UNKNOWN;
  }

  private long permittedRetryAfterMicros(long waitMicros) {
    return spec.settings().limits().retryAfterMicros(waitMicros);
  }

  @Override
  public void onRequestAbandoned(ClientRequest request) {
    if (openRequests.get(request.id) == request && !request.answered) {
      request.answered = true;
      router.onClientDisconnected(loop.nowMicros(), request.id);
      sendAnswer(listener -> {}, request);
    }
  }

  /** Sends the final answer and releases the request's place in the quota; all answers go here. */
  private void sendAnswer(Consumer<ClientRequest.ResponseListener> answer, ClientRequest request) {
    if (quota != null) {
      quotas.release(quota);
    }
    answer.accept(request.responseListener);
    removeIfComplete(request);
  }

  // Events of the backend

  /** The counter of an outcome; its name is logged at exit and shown by the administration. */
  private static Counters.Name attemptCounter(AttemptStatus status) {
    return switch (status) {
      case OK -> Counters.Name.ATTEMPTS_OK;
      case ERROR -> Counters.Name.ATTEMPTS_ERROR;
      case CAPACITY_EXCEEDED -> Counters.Name.ATTEMPTS_FULL;
      case TIMEOUT -> Counters.Name.ATTEMPTS_TIMEOUT;
      case CONNECT_FAILED -> Counters.Name.ATTEMPTS_CONNECT_FAILED;
      case RESET -> Counters.Name.ATTEMPTS_RESET;
      case CANCELLED -> Counters.Name.ATTEMPTS_CANCELLED;
      case NOT_SENT -> Counters.Name.ATTEMPTS_NOT_SENT;
      case REPLICA_UNSUITABLE -> Counters.Name.ATTEMPTS_MISS;
    };
  }

  @Override
  public void onAttemptEnded(BackendAttempt attempt, BackendResponse response) {
    ClientRequest request = attempt.request;
    attempt.outstanding = false;
    network.counters().add(attemptCounter(response.status()));
    if (response.status() == AttemptStatus.OK && !request.answered) {
      request.answered = true;
      sendAnswer(listener -> listener.onServed(response.messages()), request);
    }
    // Counted from when the request was written: a wait for a connection says nothing of the host.
    long elapsedMicros = loop.nowMicros() - attempt.sentAtMicros;
    router.onAttemptOutcome(
        loop.nowMicros(),
        new AttemptOutcome(
            request.id,
            attempt.number,
            attempt.endpointId,
            response.status(),
            request.answered,
            elapsedMicros,
            response.role(),
            response.positionMicros(),
            response.loadReport()));
    removeIfComplete(request);
  }

  @Override
  public boolean mayStartAttempt(BackendAttempt attempt) {
    return router.mayStartAttempt(loop.nowMicros(), attempt.request.id, attempt.number);
  }

  @Override
  public void onHealthCheckEnded(String endpointId, BackendResponse response, long elapsedMicros) {
    if (response.status() != AttemptStatus.OK) {
      network.counters().add(Counters.Name.PROBES_FAILED);
    }
    router.onHealthCheckResult(
        loop.nowMicros(), endpointId, response.status(), elapsedMicros, response.loadReport());
  }

  /** Removes a request once its last attempt has ended: the router gets the outcome of each. */
  private void removeIfComplete(ClientRequest request) {
    if (request.answered && request.attempts.stream().noneMatch(attempt -> attempt.outstanding)) {
      openRequests.remove(request.id, request);
    }
  }

  // Events of discovery

  @Override
  public void onEndpoints(EndpointList list) {
    endpoints = endpoints.apply(list);
    backends.updateEndpoints(list);
    updateRouterEndpoints(
        list.complete() ? EndpointUpdateKind.SNAPSHOT : EndpointUpdateKind.DELTA, list);
  }

  /**
   * Passes a list on to the router, with the endpoints that an administrator has drained as
   * draining, whatever the list says.
   */
  private void updateRouterEndpoints(EndpointUpdateKind kind, EndpointList list) {
    Set<String> drained = new HashSet<>(spec.drainedEndpoints());
    List<Endpoint> reported =
        drained.isEmpty()
            ? list.endpoints()
            : list.endpoints().stream()
                .map(
                    endpoint ->
                        drained.contains(endpoint.id())
                                && endpoint.availability() == Availability.READY
                            ? endpoint.withAvailability(Availability.DRAINING)
                            : endpoint)
                .toList();
    router.onEndpoints(loop.nowMicros(), kind, list.revision(), reported);
  }

  @Override
  public void onDiscoveryFailed() {
    if (!isRunning()) {
      return;
    }
    if (spec.settings().endpointList().polled()) {
      router.onEndpoints(loop.nowMicros(), EndpointUpdateKind.FAILED, 0, List.of());
    } else {
      loop.scheduleAt(loop.nowMicros() + WATCH_RETRY_DELAY_MICROS, this::watchPushedEndpoints);
    }
  }

  /**
   * Watches a pushed list. The router asks only for lists that are polled; a pushed one comes by a
   * watch too.
   */
  private void watchPushedEndpoints() {
    if (isRunning()
        && discovery != null
        && !spec.settings().endpointList().polled()
        && !discovery.isOpen()) {
      discovery.watch(true);
    }
  }

  // Actions of the router

  @Override
  public void startAttempt(String requestId, String endpointId, long timeoutMicros) {
    ClientRequest request = openRequests.get(requestId);
    BackendAttempt attempt = new BackendAttempt(request, endpointId, loop.nowMicros());
    request.attempts.add(attempt);
    if (request.answered || loop.nowMicros() >= request.deadlineMicros) {
      network.post(() -> onAttemptEnded(attempt, BackendResponse.of(AttemptStatus.NOT_SENT)));
      return;
    }
    network.counters().add(Counters.Name.ATTEMPTS_SENT);
    backends.startAttempt(attempt);
  }

  @Override
  public void cancelAttempt(String requestId, int attemptNumber) {
    ClientRequest request = openRequests.get(requestId);
    if (request != null && attemptNumber < request.attempts.size()) {
      backends.cancelAttempt(request.attempts.get(attemptNumber));
    }
  }

  @Override
  public void reject(String requestId, long retryAfterMicros) {
    answerIfOpen(requestId, listener -> listener.onRejected(retryAfterMicros));
  }

  @Override
  public void fail(String requestId) {
    answerIfOpen(requestId, ClientRequest.ResponseListener::onFailed);
  }

  private void answerIfOpen(String requestId, Consumer<ClientRequest.ResponseListener> answer) {
    ClientRequest request = openRequests.get(requestId);
    if (request != null && !request.answered) {
      request.answered = true;
      sendAnswer(answer, request);
    }
  }

  /**
   * Ignored once the tenant is removed: the router checks the health of an endpoint whose
   * connection the removal closed, and that connection would outlive the tenant.
   */
  @Override
  public void checkHealth(String endpointId) {
    if (isRunning()) {
      backends.checkHealth(endpointId);
    }
  }

  @Override
  public void setTimer(String name, long atMicros) {
    suspendedTimerAtMicros = atMicros;
    if (isRunning()) {
      if (routerTimer != null) {
        routerTimer.cancel();
      }
      routerTimer =
          loop.scheduleAt(
              atMicros,
              () -> {
                routerTimer = null;
                suspendedTimerAtMicros = 0;
                router.onTimer(loop.nowMicros(), name);
              });
    }
  }

  @Override
  public void watchEndpoints(boolean enabled) {
    // A watch that is open is kept: discovery may have moved since the one that failed.
    if (discovery != null && isRunning() && !(enabled && discovery.isOpen())) {
      discovery.watch(enabled);
    }
  }

  @Override
  public void fetchEndpoints() {
    discovery.fetchEndpoints();
  }

  /** Not supported: the settings permit no peer messages, so the router never sends one. */
  @Override
  public void sendToPeers(int gatewayIndex, byte[] payload) {
    throw new UnsupportedOperationException("gateways have no way to talk to each other");
  }

  @Override
  public void closeIdleConnections(String endpointId) {
    backends.closeIdleConnections(endpointId);
  }

  @Override
  public void log(String text) {
    network
        .log()
        .println("module " + (network.tenantId().isEmpty() ? "" : network.tenantId() + " ") + text);
  }
}

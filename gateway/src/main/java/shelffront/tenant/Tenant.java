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
 * One tenant while it runs: its decision module, boxes, sessions and requests. Joins the client
 * side, the server side and discovery to the module, and carries out what that asks. All on the
 * loop thread.
 *
 * <p>A tenant without clients sleeps: it has no connection, no watch and no timer, and its module
 * sees no events. What the module knows of sessions' writes stays; of boxes it knows nothing when
 * it wakes, and learns it anew.
 */
public final class Tenant
    implements RouterActions,
        RequestHandler,
        BackendConnections.Listener,
        DiscoveryClient.Listener {

  /** When a client that found no room here may come again. */
  private static final long BUSY_WAIT = 200_000;

  private static final long DRAIN_CHECK = 20_000;

  /** After a watch on a pushed list broke: its agent is near and answers at no cost. */
  private static final long AGENT_PAUSE = 100_000;

  /** Without a client for so long, a tenant of a shared gateway falls asleep. */
  private static final long SLEEP_AFTER = 30_000_000;

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
  private BackendConnections servers;
  private DiscoveryClient discovery;
  private EndpointList endpoints; // the list last heard, before what administrators drained
  private long
      suspendedTimerAtMicros; // the time of the module's timer that came while it slept; 0: none
  private Deadline wake;
  private Deadline sleep;
  private Runnable whenGone;
  private boolean left; // nothing of it remains
  private boolean predecessor; // another module served this tenant's sessions, and still does
  private long
      predecessorEndedAtMicros; // writes before this time may have gone through another module
  private final Map<String, ClientRequest> exchanges = new HashMap<>();
  private final Set<ClientHandle> clients = new LinkedHashSet<>();

  /** The sockets are those for hosts; shares is null for one that has the gateway to itself. */
  public Tenant(
      Network network, TenantSpec spec, long seed, ConnectionQuotas sockets, TenantQuotas shares) {
    this.network = network;
    this.loop = network.loop();
    this.spec = spec;
    this.seed = seed;
    this.hostConnectionQuotas = sockets;
    this.quotas = shares;
    quota = shares == null ? null : shares.register(spec.weight(), spec.classWeights());
    rateLimit =
        new TokenBucket(spec.bounds().requestsPerSecond(), spec.bounds().burst(), loop.nowMicros());
  }

  public TenantSpec spec() {
    return spec;
  }

  /**
   * Another module has served this tenant: until its work is done, and for what it wrote, reads
   * must be covered.
   */
  void awaitPredecessor() {
    predecessor = true;
  }

  void predecessorEnded() {
    predecessor = false;
    predecessorEndedAtMicros = loop.nowMicros();
    if (left) {
      whenGone.run();
    }
  }

  // ---- Life
  // --------------------------------------------------------------------------------

  /** Starts the module with the list as last known, or wakes it. */
  public void start() {
    if (state != State.SUSPENDED) {
      return;
    }
    state = State.ACTIVE;
    boolean first = router == null;
    if (first) {
      router = new RoutingEngine(this);
      servers =
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
      servers.updateEndpoints(endpoints);
      router.onStart(loop.nowMicros(), seed, spec.settings());
      listen();
      // In a turn of its own: the first connections to hosts would else be late before the loop
      // looks at them.
      network.post(() -> told(EndpointUpdateKind.CACHED, endpoints));
      return;
    }
    if (discovery != null) {
      discovery.watchFromStart();
    } else {
      told(EndpointUpdateKind.SNAPSHOT, endpoints);
    }
    if (suspendedTimerAtMicros != 0) {
      setTimer("wake", suspendedTimerAtMicros);
    }
  }

  /** Gives back what a tenant without clients needs not. */
  private void suspend() {
    sleep = null;
    if (!exchanges.isEmpty()) {
      sleep =
          loop.scheduleAt(
              loop.nowMicros() + SLEEP_AFTER, this::suspend); // what is still out ends before long
      return;
    }
    // What was known of boxes will be old by then; an empty list leaves the module its sessions'
    // marks.
    router.onEndpoints(
        loop.nowMicros(), EndpointUpdateKind.SNAPSHOT, endpoints.revision(), List.of());
    state = State.SUSPENDED;
    if (discovery != null) {
      discovery.watch(false);
    }
    servers.closeAll(CloseReason.IDLE);
    if (wake != null) {
      wake.cancel();
      wake = null;
    }
  }

  /**
   * Takes up a changed spec. What only a new module can take up is taken up by one, once this one's
   * work is done.
   */
  public boolean update(TenantSpec next) {
    if (router != null && !spec.canUpdateInPlaceTo(next)) {
      return false;
    }
    boolean moved = discovery != null && !next.discoveryAddress().equals(spec.discoveryAddress());
    boolean listed = next.discoveryAddress() == null && !next.endpoints().equals(spec.endpoints());
    boolean drained = !next.drainedEndpoints().equals(spec.drainedEndpoints());
    spec = next;
    rateLimit.reconfigure(
        next.bounds().requestsPerSecond(), next.bounds().burst(), loop.nowMicros());
    network.budget().updateLimit(next.bounds().bufferBytes());
    if (servers != null) {
      servers.updateQuota(next.weight(), next.bounds().hostConnections());
    }
    network.taskFlow().setWeight(next.weight());
    if (quota != null) {
      quotas.updateWeights(quota, next.weight(), next.classWeights());
    }
    if (moved) {
      discovery.changeAddress(next.discoveryAddress());
    }
    if (listed) {
      endpoints = next.endpoints();
    }
    if (router != null && state != State.SUSPENDED && (listed || drained)) {
      servers.updateEndpoints(endpoints);
      told(EndpointUpdateKind.SNAPSHOT, endpoints);
    }
    return true;
  }

  /**
   * Takes the tenant out of service: new requests are refused at once, what was taken goes on for
   * the grace, then the rest is answered too and nothing of it remains.
   */
  public void remove(long grace, Runnable then) {
    if (state == State.DRAINING || state == State.REMOVED) {
      return;
    }
    whenGone = then;
    if (router == null) {
      state = State.REMOVED;
      gone();
      return;
    }
    state = State.DRAINING;
    if (sleep != null) {
      sleep.cancel();
    }
    List.copyOf(clients).forEach(this::dismissIdle);
    long until = loop.nowMicros() + grace;
    loop.scheduleAt(loop.nowMicros(), () -> removal(until));
  }

  private void removal(long until) {
    boolean over = exchanges.values().stream().allMatch(e -> e.answered);
    if (!over && loop.nowMicros() < until) {
      loop.scheduleAt(Math.min(until, loop.nowMicros() + DRAIN_CHECK), () -> removal(until));
      return;
    }
    state = State.REMOVED;
    for (ClientRequest exchange : List.copyOf(exchanges.values())) {
      if (!exchange.answered) {
        // The module is told that nobody waits, so that it calls off what is out and counts nothing
        // more.
        exchange.answered = true;
        router.onClientDisconnected(loop.nowMicros(), exchange.id);
        boolean harmless =
            exchange.attempts.isEmpty()
                || spec.settings().requestClasses().get(exchange.classIndex).isIdempotent();
        finished(
            harmless
                ? ClientRequest.ResponseListener::onUnavailable
                : ClientRequest.ResponseListener::onFailed,
            exchange);
      }
    }
    List.copyOf(clients).forEach(c -> c.endWithError(removed(), CloseReason.TENANT_GONE));
    close(CloseReason.TENANT_GONE);
    exchanges.clear();
    gone();
  }

  private void gone() {
    if (quota != null) {
      quotas.unregister(quota);
    }
    left = true;
    if (!predecessor) { // else whoever comes after this one would not wait for the one before it
      whenGone.run();
    }
  }

  private static ProtocolException removed() {
    return new ProtocolException(SqlState.CANNOT_CONNECT_NOW, "the database is being removed");
  }

  private void dismissIdle(ClientHandle client) {
    if (client.isIdle()) {
      client.endWithError(removed(), CloseReason.TENANT_GONE);
    }
  }

  /** Gives back every connection to hosts and discovery, and the module's timer. */
  public void close(CloseReason reason) {
    if (discovery != null) {
      discovery.close(reason);
    }
    if (servers != null) {
      servers.closeAll(reason);
    }
    if (wake != null) {
      wake.cancel();
    }
    if (sleep != null) {
      sleep.cancel();
    }
  }

  /** Whether its module runs: it has clients, or finishes what they asked. */
  private boolean isRunning() {
    return state == State.ACTIVE || state == State.DRAINING;
  }

  /** Whether it has no client. */
  boolean hasNoClients() {
    return clients.isEmpty();
  }

  /** Whether nothing that was taken is open, answers and attempts alike. */
  public boolean hasNoOpenRequests() {
    return exchanges.isEmpty();
  }

  /** Discovery answers elsewhere from now on. */
  public void moveDiscovery(InetSocketAddress to) {
    discovery.changeAddress(to);
  }

  /** What it uses now and what it has done since the start. */
  public Usage usage() {
    return new Usage(
        clients.size(),
        exchanges.size(),
        servers == null ? 0 : servers.openConnectionCount(),
        network.budget().held(),
        network.counters().values());
  }

  /** Counts of the moment, and counters since the start. */
  public record Usage(
      int clientConnections,
      int openRequests,
      long hostConnections,
      long bufferBytes,
      Map<String, Long> counters) {}

  // ---- From the client side
  // --------------------------------------------------------------------------------

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
    if (sleep != null) {
      sleep.cancel();
      sleep = null;
    }
    start();
  }

  @Override
  public void onClientClosed(ClientHandle client) {
    clients.remove(client);
    if (clients.isEmpty() && quotas != null && state == State.ACTIVE) {
      sleep = loop.scheduleAt(loop.nowMicros() + SLEEP_AFTER, this::suspend);
    }
  }

  /** Whether it takes clients; throws what one that comes now is told. */
  void checkAdmission() throws ProtocolException {
    if (state == State.DRAINING || state == State.REMOVED) {
      throw removed();
    }
    if (clients.size() >= spec.bounds().clientConnections()) {
      throw new ProtocolException(
          SqlState.TOO_MANY_CONNECTIONS, "the database has too many connections");
    }
  }

  /** Guards an open request against another one under its id. */
  @Override
  public void validate(ClientRequest exchange) throws ProtocolException {
    if (exchanges.containsKey(exchange.id)) {
      throw new ProtocolException(SqlState.DUPLICATE_OBJECT, "a request with this id is open");
    }
  }

  @Override
  public void handle(
      ClientRequest exchange, String session, int group, long after, boolean repeat) {
    if (state == State.DRAINING || state == State.REMOVED) {
      exchange.responseListener.onUnavailable();
      return;
    }
    long wait = rateLimit.waitMicros(loop.nowMicros());
    if (wait > 0 || exchanges.size() >= spec.bounds().openRequests()) {
      network.counters().add(Counters.Name.REFUSED_BY_LIMIT);
      exchange.responseListener.onRejected(told(Math.max(wait, BUSY_WAIT)));
      return;
    }
    long later = quota == null ? 0 : quotas.admit(quota, exchange.classIndex, loop.nowMicros());
    if (later > 0) {
      network.counters().add(Counters.Name.REFUSED_BY_SHARE);
      exchange.responseListener.onRejected(told(later));
      return;
    }
    rateLimit.consume();
    exchanges.put(exchange.id, exchange);
    router.onRequest(
        loop.nowMicros(),
        new Request(
            exchange.id,
            exchange.classIndex,
            session,
            group,
            exchange.deadlineMicros - loop.nowMicros(),
            Math.max(after, writtenBefore()),
            repeat));
  }

  /**
   * Time of the last write that another module may have taken for any session; unknown where there
   * was none.
   */
  private long writtenBefore() {
    return predecessor
        ? loop.nowMicros()
        : predecessorEndedAtMicros > 0 ? predecessorEndedAtMicros : Router.UNKNOWN;
  }

  private long told(long wait) {
    return spec.settings().limits().retryAfterMicros(wait);
  }

  @Override
  public void onRequestAbandoned(ClientRequest exchange) {
    if (exchanges.get(exchange.id) == exchange && !exchange.answered) {
      exchange.answered = true;
      router.onClientDisconnected(loop.nowMicros(), exchange.id);
      finished(asker -> {}, exchange);
    }
  }

  /** The one place where an answer leaves; the request's place is free from here. */
  private void finished(Consumer<ClientRequest.ResponseListener> answer, ClientRequest exchange) {
    if (quota != null) {
      quotas.release(quota);
    }
    answer.accept(exchange.responseListener);
    forget(exchange);
  }

  // ---- From the server side
  // --------------------------------------------------------------------------------

  /** The counter's name is published at exit and by the administration. */
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
  public void onAttemptEnded(BackendAttempt attempt, BackendResponse reply) {
    ClientRequest exchange = attempt.request;
    attempt.outstanding = false;
    network.counters().add(attemptCounter(reply.status()));
    if (reply.status() == AttemptStatus.OK && !exchange.answered) {
      exchange.answered = true;
      finished(asker -> asker.onServed(reply.messages()), exchange);
    }
    // From when the request went out: guards against taking the wait for a connection, which may be
    // this program's
    // own in its first seconds, for slowness of the host.
    long took = loop.nowMicros() - attempt.sentAtMicros;
    router.onAttemptOutcome(
        loop.nowMicros(),
        new AttemptOutcome(
            exchange.id,
            attempt.number,
            attempt.endpointId,
            reply.status(),
            exchange.answered,
            took,
            reply.role(),
            reply.positionMicros(),
            reply.loadReport()));
    forget(exchange);
  }

  @Override
  public boolean mayStartAttempt(BackendAttempt attempt) {
    return router.mayStartAttempt(loop.nowMicros(), attempt.request.id, attempt.number);
  }

  @Override
  public void onHealthCheckEnded(String member, BackendResponse reply, long took) {
    if (reply.status() != AttemptStatus.OK) {
      network.counters().add(Counters.Name.PROBES_FAILED);
    }
    router.onHealthCheckResult(loop.nowMicros(), member, reply.status(), took, reply.loadReport());
  }

  /** A request is kept until its last attempt has ended: the module is owed every outcome. */
  private void forget(ClientRequest exchange) {
    if (exchange.answered && exchange.attempts.stream().noneMatch(a -> a.outstanding)) {
      exchanges.remove(exchange.id, exchange);
    }
  }

  // ---- From discovery
  // --------------------------------------------------------------------------------

  @Override
  public void onEndpoints(EndpointList list) {
    endpoints = endpoints.apply(list);
    servers.updateEndpoints(list);
    told(list.complete() ? EndpointUpdateKind.SNAPSHOT : EndpointUpdateKind.DELTA, list);
  }

  /**
   * Passes a list on to the module; what an administrator has drained is drained, whatever the list
   * says.
   */
  private void told(EndpointUpdateKind kind, EndpointList list) {
    Set<String> drained = new HashSet<>(spec.drainedEndpoints());
    List<Endpoint> members =
        drained.isEmpty()
            ? list.endpoints()
            : list.endpoints().stream()
                .map(
                    m ->
                        drained.contains(m.id()) && m.availability() == Availability.READY
                            ? m.withAvailability(Availability.DRAINING)
                            : m)
                .toList();
    router.onEndpoints(loop.nowMicros(), kind, list.revision(), members);
  }

  @Override
  public void onDiscoveryFailed() {
    if (!isRunning()) {
      return;
    }
    if (spec.settings().endpointList().polled()) {
      router.onEndpoints(loop.nowMicros(), EndpointUpdateKind.FAILED, 0, List.of());
    } else {
      loop.scheduleAt(loop.nowMicros() + AGENT_PAUSE, this::listen);
    }
  }

  /**
   * Where lists are pushed the module asks for none: on sockets they come by a watch all the same.
   */
  private void listen() {
    if (isRunning()
        && discovery != null
        && !spec.settings().endpointList().polled()
        && !discovery.isOpen()) {
      discovery.watch(true);
    }
  }

  // ---- What the module asks for
  // --------------------------------------------------------------------------------

  @Override
  public void startAttempt(String requestId, String member, long timeout) {
    ClientRequest exchange = exchanges.get(requestId);
    BackendAttempt attempt = new BackendAttempt(exchange, member, loop.nowMicros());
    exchange.attempts.add(attempt);
    if (exchange.answered || loop.nowMicros() >= exchange.deadlineMicros) {
      network.post(() -> onAttemptEnded(attempt, BackendResponse.of(AttemptStatus.NOT_SENT)));
      return;
    }
    network.counters().add(Counters.Name.ATTEMPTS_SENT);
    servers.startAttempt(attempt);
  }

  @Override
  public void cancelAttempt(String requestId, int attempt) {
    ClientRequest exchange = exchanges.get(requestId);
    if (exchange != null && attempt < exchange.attempts.size()) {
      servers.cancelAttempt(exchange.attempts.get(attempt));
    }
  }

  @Override
  public void reject(String requestId, long retryAfter) {
    end(requestId, asker -> asker.onRejected(retryAfter));
  }

  @Override
  public void fail(String requestId) {
    end(requestId, ClientRequest.ResponseListener::onFailed);
  }

  private void end(String requestId, Consumer<ClientRequest.ResponseListener> answer) {
    ClientRequest exchange = exchanges.get(requestId);
    if (exchange != null && !exchange.answered) {
      exchange.answered = true;
      finished(answer, exchange);
    }
  }

  /**
   * Guards against connections that outlive a tenant: the module answers what a removal cut off
   * with a probe.
   */
  @Override
  public void checkHealth(String member) {
    if (isRunning()) {
      servers.checkHealth(member);
    }
  }

  @Override
  public void setTimer(String name, long at) {
    suspendedTimerAtMicros = at;
    if (isRunning()) {
      if (wake != null) {
        wake.cancel();
      }
      wake =
          loop.scheduleAt(
              at,
              () -> {
                wake = null;
                suspendedTimerAtMicros = 0;
                router.onTimer(loop.nowMicros(), name);
              });
    }
  }

  @Override
  public void watchEndpoints(boolean on) {
    // One that stands is not begun anew: a move to another address may have come between its
    // failure and now.
    if (discovery != null && isRunning() && !(on && discovery.isOpen())) {
      discovery.watch(on);
    }
  }

  @Override
  public void fetchEndpoints() {
    discovery.fetchEndpoints();
  }

  /**
   * Gateways of this kind can't reach each other; the settings say so and the module never asks.
   */
  @Override
  public void sendToPeers(int peer, byte[] payload) {
    throw new UnsupportedOperationException("gateways have no way to talk to each other");
  }

  @Override
  public void closeIdleConnections(String member) {
    servers.closeIdleConnections(member);
  }

  @Override
  public void log(String text) {
    network
        .log()
        .println("module " + (network.tenantId().isEmpty() ? "" : network.tenantId() + " ") + text);
  }
}

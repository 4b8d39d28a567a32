package shelffront.tenant;

import shelffront.backend.BackendConnections;
import shelffront.backend.BackendResponse;
import shelffront.decision.RoutingEngine;
import shelffront.net.CloseReason;
import shelffront.net.Counters;
import shelffront.net.EventLoop.Deadline;
import shelffront.quota.ConnectionQuotas;
import shelffront.request.BackendAttempt;
import shelffront.request.ClientRequest;
import shelffront.routing.AttemptOutcome;
import shelffront.routing.AttemptStatus;
import shelffront.routing.Request;
import shelffront.routing.RoleReport;
import shelffront.routing.Router;
import shelffront.routing.RouterActions;

/**
 * Connects the router of one tenant to the network: executes the router's actions on the host
 * connections and reports their events to the router. Owns the router, the host connections, the
 * endpoint list and the router's single timer. Created when the first client connects and kept
 * while the tenant is suspended. Confined to the event loop.
 */
final class TenantRouting implements RouterActions, BackendConnections.Listener {

  private final TenantContext context;
  private final OpenRequests requests;
  private final Router router;
  private final BackendConnections backends;
  private final TenantEndpoints endpoints;
  private final RoleReportListener roleReports;
  private Deadline timer;
  private long timerAtMicros; // 0 if no timer is set; kept while the tenant is suspended

  TenantRouting(
      TenantContext context,
      OpenRequests requests,
      ConnectionQuotas hostConnectionQuotas,
      RoleReportListener roleReports) {
    this.context = context;
    this.requests = requests;
    this.roleReports = roleReports;
    TenantSpec spec = context.spec();
    router = new RoutingEngine(this);
    backends =
        new BackendConnections(
            context.network(),
            spec.settings().limits(),
            hostConnectionQuotas,
            spec.weight(),
            spec.bounds().hostConnections(),
            spec.login(),
            this);
    endpoints = new TenantEndpoints(context, router, backends);
  }

  TenantEndpoints endpoints() {
    return endpoints;
  }

  // ---- Lifecycle

  /**
   * Starts the router with the last known endpoint list.
   *
   * @param hasPredecessor whether another router of the tenant may have received role reports
   */
  void start(long seed, boolean hasPredecessor) {
    endpoints.start();
    router.onStart(context.nowMicros(), seed, context.spec().settings());
    if (hasPredecessor) {
      onRoleReportsMissed();
    }
    endpoints.watchPushedList();
    endpoints.postCachedList();
  }

  void resume() {
    endpoints.resume();
    if (timerAtMicros != 0) {
      setTimer("wake", timerAtMicros);
    }
  }

  /** Stops the watch, closes all host connections and cancels the timer. */
  void suspend() {
    endpoints.stopWatch();
    backends.closeAll(CloseReason.IDLE);
    if (timer != null) {
      timer.cancel();
      timer = null;
    }
  }

  /** Closes all connections to hosts and to discovery, and cancels the timer. */
  void close(CloseReason reason) {
    endpoints.close(reason);
    backends.closeAll(reason);
    if (timer != null) {
      timer.cancel();
    }
  }

  void updateQuota(TenantSpec spec) {
    backends.updateQuota(spec.weight(), spec.bounds().hostConnections());
  }

  int openHostConnections() {
    return backends.openConnectionCount();
  }

  // ---- From clients

  void onRequest(Request request) {
    router.onRequest(context.nowMicros(), request);
  }

  void onClientDisconnected(String requestId) {
    router.onClientDisconnected(context.nowMicros(), requestId);
  }

  // ---- From other routers

  void onPredecessorReport(String endpointId, RoleReport report) {
    router.onReplicaReport(context.nowMicros(), endpointId, report);
  }

  void onRoleReportsMissed() {
    router.onRoleReportsMissed(context.nowMicros());
  }

  // ---- From hosts

  @Override
  public void onAttemptEnded(BackendAttempt attempt, BackendResponse response) {
    ClientRequest request = attempt.request;
    attempt.outstanding = false;
    context.network().counters().add(attemptCounter(response.status()));
    if (response.status() == AttemptStatus.OK && !request.completed) {
      request.completed = true;
      requests.complete(request, listener -> listener.onServed(response.messages()));
    }
    // Measured from the time the request was sent. The wait for a connection is excluded because it
    // may be caused by this process, in its first seconds, rather than by a slow host.
    long elapsedMicros = context.nowMicros() - attempt.sentAtMicros;
    AttemptOutcome outcome =
        new AttemptOutcome(
            request.id,
            attempt.number,
            attempt.endpointId,
            response.status(),
            request.completed,
            elapsedMicros,
            response.role(),
            response.positionMicros(),
            response.loadReport());
    router.onAttemptOutcome(context.nowMicros(), outcome);
    roleReports.onRoleReport(
        attempt.endpointId,
        RoleReport.ofResponse(outcome, false, Router.UNKNOWN, context.nowMicros()));
    requests.removeIfFinished(request);
  }

  /**
   * Maps a status to its counter, whose name appears in the exit log line and in the administration
   * API.
   */
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
  public boolean mayStartAttempt(BackendAttempt attempt) {
    return attempt.request.responseListener.mayStartAttempt()
        && router.mayStartAttempt(context.nowMicros(), attempt.request.id, attempt.number);
  }

  @Override
  public void onHealthCheckEnded(String endpointId, BackendResponse response, long elapsedMicros) {
    if (response.status() != AttemptStatus.OK) {
      context.network().counters().add(Counters.Name.PROBES_FAILED);
    }
    // First, because the load report may be older than the response, which states the role as of
    // now, and its result sends queued requests.
    RoleReport stated = new RoleReport(response.role(), Router.UNKNOWN, context.nowMicros());
    router.onReplicaReport(context.nowMicros(), endpointId, stated);
    roleReports.onRoleReport(endpointId, stated);
    router.onHealthCheckResult(
        context.nowMicros(), endpointId, response.status(), elapsedMicros, response.loadReport());
    roleReports.onRoleReport(
        endpointId, RoleReport.ofLoadReport(response.loadReport(), context.nowMicros()));
  }

  // ---- Actions of the router

  @Override
  public void startAttempt(String requestId, String endpointId, long timeoutMicros) {
    ClientRequest request = requests.get(requestId);
    BackendAttempt attempt = new BackendAttempt(request, endpointId, context.nowMicros());
    request.attempts.add(attempt);
    if (request.completed
        || context.nowMicros() >= request.deadlineMicros
        || !request.responseListener.mayStartAttempt()) {
      context
          .network()
          .post(() -> onAttemptEnded(attempt, BackendResponse.of(AttemptStatus.NOT_SENT)));
      return;
    }
    context.network().counters().add(Counters.Name.ATTEMPTS_SENT);
    backends.startAttempt(attempt);
  }

  @Override
  public void cancelAttempt(String requestId, int attemptNumber) {
    ClientRequest request = requests.get(requestId);
    if (request != null && attemptNumber < request.attempts.size()) {
      backends.cancelAttempt(request.attempts.get(attemptNumber));
    }
  }

  @Override
  public void reject(String requestId, long retryAfterMicros) {
    requests.completeIfOpen(requestId, listener -> listener.onRejected(retryAfterMicros));
  }

  @Override
  public void fail(String requestId) {
    requests.completeIfOpen(requestId, ClientRequest.ResponseListener::onFailed);
  }

  /**
   * Does nothing unless the tenant is running. The router reacts to attempts aborted by a removal
   * with health checks, whose connections would outlive the tenant.
   */
  @Override
  public void checkHealth(String endpointId) {
    if (context.state().isRunning()) {
      backends.checkHealth(endpointId);
    }
  }

  @Override
  public void setTimer(String name, long atMicros) {
    timerAtMicros = atMicros;
    if (!context.state().isRunning()) {
      return;
    }
    if (timer != null) {
      timer.cancel();
    }
    timer = context.loop().scheduleAt(atMicros, () -> onTimer(name));
  }

  private void onTimer(String name) {
    timer = null;
    timerAtMicros = 0;
    router.onTimer(context.nowMicros(), name);
  }

  @Override
  public void watchEndpoints(boolean enabled) {
    endpoints.watch(enabled);
  }

  @Override
  public void fetchEndpoints() {
    endpoints.fetch();
  }

  /**
   * Not supported: there are no connections between these gateways. The settings disable messages
   * to peers, so the router never calls this method.
   */
  @Override
  public void sendToPeers(int peer, byte[] payload) {
    throw new UnsupportedOperationException("messages between gateways are not supported");
  }

  @Override
  public void closeIdleConnections(String endpointId) {
    backends.closeIdleConnections(endpointId);
  }

  @Override
  public void log(String text) {
    String tenantId = context.network().tenantId();
    context.network().log().println("router " + (tenantId.isEmpty() ? "" : tenantId + " ") + text);
  }
}

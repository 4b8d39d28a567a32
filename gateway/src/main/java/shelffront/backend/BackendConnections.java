package shelffront.backend;

import static java.nio.charset.StandardCharsets.US_ASCII;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.AsynchronousSocketChannel;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import shelffront.config.EndpointList;
import shelffront.net.CloseReason;
import shelffront.net.Counters;
import shelffront.net.Network;
import shelffront.pg.Message;
import shelffront.quota.Acquisition;
import shelffront.quota.ConnectionQuota;
import shelffront.quota.ConnectionQuotas;
import shelffront.request.BackendAttempt;
import shelffront.routing.AttemptStatus;
import shelffront.routing.Availability;
import shelffront.routing.Endpoint;
import shelffront.routing.OperatingLimits;

/**
 * Connection pools for the database hosts of one tenant, with the attempts and health checks that
 * run on them.
 *
 * <p>Invariants: every attempt and health check ends exactly once, through {@link Listener}; for
 * each call that waits for a connection, one is being opened if the quota permits; at the quota, an
 * idle connection is closed to open a new one. Runs on the loop thread.
 */
public final class BackendConnections {

  /** Called once per attempt and health check, never from within the method that started it. */
  public interface Listener {

    /** Called when an attempt has ended. */
    void onAttemptEnded(BackendAttempt attempt, BackendResponse response);

    /** Whether an attempt may still be sent, now that a connection is available for it. */
    boolean mayStartAttempt(BackendAttempt attempt);

    /** Called when a health check has ended. */
    void onHealthCheckEnded(String endpointId, BackendResponse response, long elapsedMicros);
  }

  /** The user and database in the startup message to hosts. */
  public record Login(String user, String database) {}

  /**
   * Idle connections are closed after four fifths of the idle timeout of hosts, so that the gateway
   * closes them first.
   */
  private static final int IDLE_FRACTION_NUMERATOR = 4;

  private static final int IDLE_FRACTION_DENOMINATOR = 5;

  private static final byte[] HEALTH_CHECK_QUERY = Message.query("SHOW usage".getBytes(US_ASCII));

  private final Network network;
  private final OperatingLimits limits;
  private final ConnectionQuota connectionQuota;
  final Login login;
  private final Listener listener;
  private final Map<String, BackendHost> hosts = new TreeMap<>();

  /** Open calls in start order, so that {@link #closeAll} is deterministic. */
  private final Map<BackendAttempt, BackendCall> calls = new LinkedHashMap<>();

  /** Whether the next connection that becomes idle must be closed for another tenant. */
  private boolean reclaimPending;

  /** Each open connection counts against a quota, shared by weight and capped per tenant. */
  public BackendConnections(
      Network network,
      OperatingLimits limits,
      ConnectionQuotas connectionQuotas,
      double weight,
      int maxConnections,
      Login login,
      Listener listener) {
    this.network = network;
    this.limits = limits;
    this.connectionQuota =
        connectionQuotas.register(
            weight,
            maxConnections,
            () -> network.post(this::onReclaimRequested),
            () -> network.post(this::onConnectionAvailable));
    this.login = login;
    this.listener = listener;
  }

  /** Applies an endpoint list; closes idle connections to hosts that were removed or have moved. */
  public void updateEndpoints(EndpointList list) {
    for (Endpoint endpoint : list.endpoints()) {
      if (endpoint.availability() == Availability.REMOVED) {
        removeHost(endpoint.id());
        continue;
      }
      InetSocketAddress address = list.addresses().get(endpoint.id());
      BackendHost host = hosts.computeIfAbsent(endpoint.id(), BackendHost::new);
      if (host.address != null && !host.address.equals(address)) {
        closeIdleConnections(host, CloseReason.LEFT_LIST);
      }
      host.address = address;
    }
    if (list.complete()) {
      List<String> named = list.endpoints().stream().map(Endpoint::id).toList();
      List.copyOf(hosts.keySet()).stream()
          .filter(id -> !named.contains(id))
          .forEach(this::removeHost);
    }
  }

  private void removeHost(String endpointId) {
    BackendHost host = hosts.remove(endpointId);
    if (host != null) {
      closeIdleConnections(host, CloseReason.LEFT_LIST);
    }
  }

  /** Starts an attempt; {@link Listener#onAttemptEnded} reports its end. */
  public void startAttempt(BackendAttempt attempt) {
    BackendHost host = hosts.get(attempt.endpointId);
    BackendCall call =
        new BackendCall(attempt.endpointId, host, attempt, network.loop().nowMicros());
    calls.put(attempt, call);
    call.endDeadline =
        network
            .loop()
            .scheduleAt(attempt.request.deadlineMicros, () -> timeOut(call, AttemptStatus.TIMEOUT));
    assignConnection(call);
  }

  /** Starts a health check; {@link Listener#onHealthCheckEnded} reports its end. */
  public void checkHealth(String endpointId) {
    BackendCall call =
        new BackendCall(endpointId, hosts.get(endpointId), null, network.loop().nowMicros());
    network.counters().add(Counters.Name.PROBES_SENT);
    call.endDeadline =
        network
            .loop()
            .scheduleAfter(
                limits.connectTimeoutMicros(), () -> timeOut(call, AttemptStatus.TIMEOUT));
    assignConnection(call);
  }

  /** Cancels an attempt; reports it as cancelled unless it has already ended. */
  public void cancelAttempt(BackendAttempt attempt) {
    BackendCall call = calls.get(attempt);
    if (call != null) {
      abandon(call, CloseReason.CANCELLED);
      network.post(() -> finishCall(call, BackendResponse.of(AttemptStatus.CANCELLED)));
    }
  }

  /** Closes the idle connections to this endpoint. */
  public void closeIdleConnections(String endpointId) {
    if (hosts.containsKey(endpointId)) {
      closeIdleConnections(hosts.get(endpointId), CloseReason.GIVEN_BACK);
    }
  }

  /** Closes every connection and ends every open call, reporting its outcome. */
  public void closeAll(CloseReason reason) {
    for (BackendHost host : hosts.values()) {
      List.copyOf(host.connections).forEach(connection -> connection.close(reason));
      List.copyOf(host.waitingCalls)
          .forEach(
              waiting -> finishCall(waiting, BackendResponse.of(AttemptStatus.CONNECT_FAILED)));
      host.waitingCalls.clear();
    }
    // Connections to hosts that were removed from the list may still run calls.
    for (BackendCall call : List.copyOf(calls.values())) {
      abandon(call, reason);
      finishCall(call, BackendResponse.of(AttemptStatus.CANCELLED));
    }
  }

  private void closeIdleConnections(BackendHost host, CloseReason reason) {
    List.copyOf(host.idleConnections).forEach(connection -> connection.close(reason));
  }

  private void assignConnection(BackendCall call) {
    BackendHost host = call.host;
    if (host == null) {
      network.post(() -> finishCall(call, BackendResponse.of(AttemptStatus.CONNECT_FAILED)));
      return;
    }
    BackendConnection connection = host.idleConnections.pollLast();
    while (connection != null && connection.hasUnprocessedInput()) {
      // The unprocessed input is surplus bytes or the end of stream from the host. A request
      // written to this
      // connection would be reported as sent although the host never reads it.
      connection = host.idleConnections.pollLast();
    }
    if (connection != null) {
      sendOn(connection, call);
      return;
    }
    call.connectDeadline =
        network
            .loop()
            .scheduleAfter(
                limits.connectTimeoutMicros(), () -> timeOut(call, AttemptStatus.CONNECT_FAILED));
    host.waitingCalls.add(call);
    if (host.openingCount < host.waitingCalls.size()) {
      openConnection(host);
    }
  }

  /**
   * Opens a connection if the quota permits; otherwise calls wait until a connection to their host
   * becomes free or the quota has room.
   */
  private void openConnection(BackendHost host) {
    Acquisition acquisition = connectionQuota.tryAcquire(false);
    if (acquisition != Acquisition.ACQUIRED && evictIdle()) {
      acquisition = connectionQuota.tryAcquire(true);
    }
    if (acquisition != Acquisition.ACQUIRED) {
      return;
    }
    AsynchronousSocketChannel channel;
    try {
      channel = network.newChannel();
    } catch (IOException failure) {
      network.log().println("no socket for " + host.id + ": " + failure.getMessage());
      connectionQuota.release();
      return;
    }
    host.openingCount++;
    network.counters().add(Counters.Name.HOST_CONNECTIONS_OPENED);
    BackendConnection connection =
        new BackendConnection(network, channel, host, this, limits.connectTimeoutMicros());
    host.connections.add(connection);
    connection.open();
  }

  /** Another tenant waits for a connection: closes an idle one, or the next one to become idle. */
  private void onReclaimRequested() {
    reclaimPending = connectionQuota.excess() > 0 && !evictIdle();
  }

  private void onConnectionAvailable() {
    connectionQuota.acknowledgeAvailable();
    for (BackendHost host : hosts.values()) {
      if (!openForWaiting(host)) {
        return;
      }
    }
  }

  /** Opens one connection per waiting call; false if the quota has no room for all of them. */
  private boolean openForWaiting(BackendHost host) {
    while (host.openingCount < host.waitingCalls.size()) {
      int before = host.openingCount;
      openConnection(host);
      if (host.openingCount == before) {
        return false;
      }
    }
    return true;
  }

  /** Changes the weight and the limit of the connection quota. */
  public void updateQuota(double weight, int maxConnections) {
    connectionQuota.update(weight, maxConnections);
  }

  /** Number of host connections that are open or being opened. */
  public int openConnectionCount() {
    return connectionQuota.inUse();
  }

  private boolean evictIdle() {
    for (BackendHost host : hosts.values()) {
      if (!host.idleConnections.isEmpty()) {
        host.idleConnections.peekFirst().close(CloseReason.EVICTED);
        return true;
      }
    }
    return false;
  }

  void onConnectionReady(BackendConnection connection) {
    connection.host.openingCount--;
    onConnectionFree(connection);
  }

  /** Gives a connection the next waiting call, or keeps it idle until before the host's timeout. */
  void onConnectionFree(BackendConnection connection) {
    BackendHost host = connection.host;
    if (connection.isClosed()) {
      return;
    }
    if (!connection.isCurrent()) {
      connection.close(CloseReason.LEFT_LIST);
      openForWaiting(host);
      return;
    }
    BackendCall next = host.waitingCalls.poll();
    // The conditions under which a waiting attempt was assigned to this host may have changed.
    while (next != null && next.attempt != null && !listener.mayStartAttempt(next.attempt)) {
      BackendCall stale = next;
      network.post(() -> finishCall(stale, BackendResponse.of(AttemptStatus.NOT_SENT)));
      next = host.waitingCalls.poll();
    }
    if (next != null) {
      sendOn(connection, next);
    } else if (reclaimPending && connectionQuota.excess() > 0) {
      reclaimPending = false;
      connection.close(CloseReason.GIVEN_BACK);
    } else if (hosts.get(host.id) != host) {
      connection.close(CloseReason.LEFT_LIST);
    } else {
      host.idleConnections.addLast(connection);
      connection.closeWhenIdleAt(
          network.loop().nowMicros()
              + limits.connectionIdleMicros()
                  * IDLE_FRACTION_NUMERATOR
                  / IDLE_FRACTION_DENOMINATOR);
    }
  }

  private void sendOn(BackendConnection connection, BackendCall call) {
    if (call.connectDeadline != null) {
      call.connectDeadline.cancel();
    }
    call.connection = connection;
    if (call.attempt == null) {
      connection.send(call, HEALTH_CHECK_QUERY);
      return;
    }
    call.attempt.sentAtMicros = network.loop().nowMicros();
    long timeLeftMicros = call.attempt.request.deadlineMicros - network.loop().nowMicros();
    connection.send(
        call,
        Message.query(
            call.attempt.request.statement.withTimeToDeadlineMillis(
                Math.max(1, timeLeftMicros / 1000))));
  }

  /** A connection that fails while being opened fails the call that has waited longest. */
  void onConnectionClosed(BackendConnection connection) {
    BackendHost host = connection.host;
    connectionQuota.release();
    host.connections.remove(connection);
    host.idleConnections.remove(connection);
    if (!connection.isReady()) {
      host.openingCount--;
      BackendCall first = host.waitingCalls.poll();
      if (first != null) {
        network.post(() -> finishCall(first, BackendResponse.of(AttemptStatus.CONNECT_FAILED)));
      }
    }
  }

  private void timeOut(BackendCall call, AttemptStatus status) {
    abandon(call, CloseReason.TIMED_OUT);
    if (call.attempt == null && call.host != null) {
      // If the machine vanished and came back, its old connections look open but are dead, and each
      // would fail a request. Hosts answer health checks outside their request queue, so a timeout
      // does not mean overload.
      closeIdleConnections(call.host, CloseReason.SILENT);
    }
    finishCall(call, BackendResponse.of(status));
  }

  private void abandon(BackendCall call, CloseReason reason) {
    if (call.connection != null) {
      call.connection.abandon(reason);
    } else if (call.host != null) {
      call.host.waitingCalls.remove(call);
    }
  }

  void finishCall(BackendCall call, BackendResponse response) {
    if (call.finished) {
      return;
    }
    call.finished = true;
    call.connection = null;
    call.cancelDeadlines();
    if (call.attempt != null) {
      calls.remove(call.attempt);
      listener.onAttemptEnded(call.attempt, response);
    } else {
      listener.onHealthCheckEnded(
          call.endpointId,
          call.atPresentAddress(response),
          network.loop().nowMicros() - call.startedAtMicros);
    }
  }
}

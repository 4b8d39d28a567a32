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
 * A pool of connections to each database host, with the attempts and the health checks on them.
 *
 * <p>Invariants: every attempt and health check ends exactly once, by {@link Listener}; as many
 * connections are being opened to a host as calls wait for one, where sockets permit; at the bound
 * of sockets an idle connection gives way. Runs on the loop thread.
 */
public final class BackendConnections {

  /**
   * Called once for each attempt and health check, and never from within the call that started it.
   */
  public interface Listener {

    /** An attempt has ended. */
    void onAttemptEnded(BackendAttempt attempt, BackendResponse response);

    /** Whether an attempt may still be written, now that a connection is there for it. */
    boolean mayStartAttempt(BackendAttempt attempt);

    /** A health check has ended. */
    void onHealthCheckEnded(String endpointId, BackendResponse response, long elapsedMicros);
  }

  /** The user and database of the startup message to hosts. */
  public record Login(String user, String database) {}

  /** Connections are closed at four fifths of the time for which hosts let them idle. */
  private static final int IDLE_PARTS_USED = 4;

  private static final int IDLE_PARTS = 5;

  private static final byte[] HEALTH_CHECK_QUERY = Message.query("SHOW usage".getBytes(US_ASCII));

  private final Network network;
  private final OperatingLimits limits;
  private final ConnectionQuota connectionQuota;
  final Login login;
  private final Listener listener;
  private final Map<String, BackendHost> hosts = new TreeMap<>();

  /** In the order in which they started, so that {@link #closeAll} is deterministic. */
  private final Map<BackendAttempt, BackendCall> calls = new LinkedHashMap<>();

  /** Another tenant waits for a socket, and no connection here was idle. */
  private boolean connectionReclaimed;

  /** Each connection takes one of the sockets, divided by weight and bounded, while it is open. */
  public BackendConnections(
      Network network,
      OperatingLimits limits,
      ConnectionQuotas sockets,
      double weight,
      int maxConnections,
      Login login,
      Listener listener) {
    this.network = network;
    this.limits = limits;
    this.connectionQuota =
        sockets.register(
            weight,
            maxConnections,
            () -> network.post(this::onConnectionDemanded),
            () -> network.post(this::onConnectionAvailable));
    this.login = login;
    this.listener = listener;
  }

  /** Takes the addresses of a list; connections to hosts that left it, or moved, are given back. */
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
            .scheduleAt(attempt.request.deadlineMicros, () -> giveUp(call, AttemptStatus.TIMEOUT));
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
                limits.connectTimeoutMicros(), () -> giveUp(call, AttemptStatus.TIMEOUT));
    assignConnection(call);
  }

  /** Cancels an attempt; its outcome follows, unless it has ended already. */
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

  /** Closes every connection and ends every call that is open, with its outcome. */
  public void closeAll(CloseReason reason) {
    for (BackendHost host : hosts.values()) {
      List.copyOf(host.connections).forEach(connection -> connection.close(reason));
      List.copyOf(host.waitingCalls)
          .forEach(
              waiting -> finishCall(waiting, BackendResponse.of(AttemptStatus.CONNECT_FAILED)));
      host.waitingCalls.clear();
    }
    // Hosts that have left the list may still carry some.
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
      // Its end, or what nobody asked for, waits to be looked at: written to, it would seem to have
      // been sent.
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
                limits.connectTimeoutMicros(), () -> giveUp(call, AttemptStatus.CONNECT_FAILED));
    host.waitingCalls.add(call);
    if (host.openingCount < host.waitingCalls.size()) {
      openConnection(host);
    }
  }

  /**
   * Opens a connection where the quota permits one; else the calls wait until a connection to their
   * host is free or the quota has room.
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

  /** Another tenant waits for a socket: closes an idle connection, or the next one that is idle. */
  private void onConnectionDemanded() {
    connectionReclaimed = connectionQuota.excess() > 0 && !evictIdle();
  }

  private void onConnectionAvailable() {
    connectionQuota.acknowledgeAvailable();
    for (BackendHost host : hosts.values()) {
      if (!openForWaiting(host)) {
        return;
      }
    }
  }

  /** Opens as many connections as calls wait for; false where the quota has no room for all. */
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

  /** Changes the weight and the bound of the connection quota. */
  public void updateQuota(double weight, int maxConnections) {
    connectionQuota.update(weight, maxConnections);
  }

  /** Connections to hosts that are open or being opened. */
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

  /**
   * The connection has no call now: it takes the next one that waits, or idles for less time than
   * hosts allow.
   */
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
    // What the choice of one that waited rested on may hold no longer.
    while (next != null && next.attempt != null && !listener.mayStartAttempt(next.attempt)) {
      BackendCall stale = next;
      network.post(() -> finishCall(stale, BackendResponse.of(AttemptStatus.NOT_SENT)));
      next = host.waitingCalls.poll();
    }
    if (next != null) {
      sendOn(connection, next);
    } else if (connectionReclaimed && connectionQuota.excess() > 0) {
      connectionReclaimed = false;
      connection.close(CloseReason.GIVEN_BACK);
    } else if (hosts.get(host.id) != host) {
      connection.close(CloseReason.LEFT_LIST);
    } else {
      host.idleConnections.addLast(connection);
      connection.closeWhenIdleAt(
          network.loop().nowMicros()
              + limits.connectionIdleMicros() * IDLE_PARTS_USED / IDLE_PARTS);
    }
  }

  private void sendOn(BackendConnection connection, BackendCall call) {
    if (call.connectDeadline != null) {
      call.connectDeadline.cancel();
    }
    call.connection = connection;
    if (call.attempt == null) {
      connection.begin(call, HEALTH_CHECK_QUERY);
      return;
    }
    call.attempt.sentAtMicros = network.loop().nowMicros();
    long timeLeftMicros = call.attempt.request.deadlineMicros - network.loop().nowMicros();
    connection.begin(
        call,
        Message.query(
            call.attempt.request.statement.withTimeToDeadlineMillis(
                Math.max(1, timeLeftMicros / 1000))));
  }

  /** A connection that fails while it is opened fails the call that has waited longest. */
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

  private void giveUp(BackendCall call, AttemptStatus status) {
    abandon(call, CloseReason.TIMED_OUT);
    if (call.attempt == null && call.host != null) {
      // Guards against a machine that vanished and came back: its old connections look open and are
      // dead,
      // and each would cost a request. Probes are answered beside the queue, so silence is no
      // overload.
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
    call.endDeadline.cancel();
    if (call.connectDeadline != null) {
      call.connectDeadline.cancel();
    }
    if (call.attempt != null) {
      calls.remove(call.attempt);
      listener.onAttemptEnded(call.attempt, response);
    } else {
      listener.onHealthCheckEnded(
          call.endpointId, response, network.loop().nowMicros() - call.startedAtMicros);
    }
  }
}

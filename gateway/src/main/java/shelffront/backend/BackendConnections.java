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

/** The server side: a pool of connections to each database host, the attempts and the probes. */
public final class BackendConnections {

  /**
   * Takes what comes back; called once for each attempt and probe, never from within the call that
   * began it.
   */
  public interface Listener {

    void onAttemptEnded(BackendAttempt attempt, BackendResponse reply);

    /** Whether an attempt may still be written, now that a connection is there for it. */
    boolean mayStartAttempt(BackendAttempt attempt);

    void onHealthCheckEnded(String member, BackendResponse reply, long took);
  }

  /** Who the hosts are told this is. */
  public record Login(String user, String database) {}

  private static final byte[] PROBE = Message.query("SHOW usage".getBytes(US_ASCII));

  private final Network network;
  private final OperatingLimits limits;
  private final ConnectionQuota sockets;
  final Login login;
  private final Listener listener;
  private final Map<String, BackendHost> hosts = new TreeMap<>();

  /** In the order of their begin, so that closing all goes the same way each time. */
  private final Map<BackendAttempt, BackendCall> calls = new LinkedHashMap<>();

  private boolean owes; // another tenant waits for a socket, and none of these was idle

  /** Each connection takes one of the sockets, divided by weight and bounded, while it is open. */
  public BackendConnections(
      Network network,
      OperatingLimits limits,
      ConnectionQuotas sockets,
      double weight,
      int mostSockets,
      Login login,
      Listener listener) {
    this.network = network;
    this.limits = limits;
    this.sockets =
        sockets.register(
            weight,
            mostSockets,
            () -> network.post(this::giveOneBack),
            () -> network.post(this::oneCame));
    this.login = login;
    this.listener = listener;
  }

  /** Takes the addresses of a list; connections to hosts that left it, or moved, are given back. */
  public void updateEndpoints(EndpointList list) {
    for (Endpoint m : list.endpoints()) {
      if (m.availability() == Availability.REMOVED) {
        leave(m.id());
        continue;
      }
      InetSocketAddress address = list.addresses().get(m.id());
      BackendHost host = hosts.computeIfAbsent(m.id(), BackendHost::new);
      if (host.address != null && !host.address.equals(address)) {
        closeIdleConnections(host, CloseReason.LEFT_LIST);
      }
      host.address = address;
    }
    if (list.complete()) {
      List<String> named = list.endpoints().stream().map(Endpoint::id).toList();
      List.copyOf(hosts.keySet()).stream().filter(id -> !named.contains(id)).forEach(this::leave);
    }
  }

  private void leave(String member) {
    BackendHost host = hosts.remove(member);
    if (host != null) {
      closeIdleConnections(host, CloseReason.LEFT_LIST);
    }
  }

  public void startAttempt(BackendAttempt attempt) {
    BackendHost host = hosts.get(attempt.endpointId);
    BackendCall call =
        new BackendCall(attempt.endpointId, host, attempt, network.loop().nowMicros());
    calls.put(attempt, call);
    call.endBy =
        network
            .loop()
            .scheduleAt(attempt.request.deadlineMicros, () -> giveUp(call, AttemptStatus.TIMEOUT));
    begin(call);
  }

  public void checkHealth(String member) {
    BackendCall call = new BackendCall(member, hosts.get(member), null, network.loop().nowMicros());
    network.counters().add(Counters.Name.PROBES_SENT);
    call.endBy =
        network
            .loop()
            .scheduleAfter(
                limits.connectTimeoutMicros(), () -> giveUp(call, AttemptStatus.TIMEOUT));
    begin(call);
  }

  /** Calls the attempt off; its outcome follows unless it is over already. */
  public void cancelAttempt(BackendAttempt attempt) {
    BackendCall call = calls.get(attempt);
    if (call != null) {
      abandon(call, CloseReason.CANCELLED);
      network.post(() -> finishCall(call, BackendResponse.of(AttemptStatus.CANCELLED)));
    }
  }

  public void closeIdleConnections(String member) {
    if (hosts.containsKey(member)) {
      closeIdleConnections(hosts.get(member), CloseReason.GIVEN_BACK);
    }
  }

  /** Ends every connection and whatever waits for one; outcomes follow where any are owed. */
  public void closeAll(CloseReason reason) {
    for (BackendHost host : hosts.values()) {
      List.copyOf(host.connections).forEach(c -> c.close(reason));
      List.copyOf(host.waiting)
          .forEach(e -> finishCall(e, BackendResponse.of(AttemptStatus.CONNECT_FAILED)));
      host.waiting.clear();
    }
    // Hosts that have left the list may still carry some.
    for (BackendCall call : List.copyOf(calls.values())) {
      abandon(call, reason);
      finishCall(call, BackendResponse.of(AttemptStatus.CANCELLED));
    }
  }

  private void closeIdleConnections(BackendHost host, CloseReason reason) {
    List.copyOf(host.idle).forEach(c -> c.close(reason));
  }

  private void begin(BackendCall call) {
    BackendHost host = call.host;
    if (host == null) {
      network.post(() -> finishCall(call, BackendResponse.of(AttemptStatus.CONNECT_FAILED)));
      return;
    }
    BackendConnection connection = host.idle.pollLast();
    while (connection != null && connection.hasUnprocessedInput()) {
      // Its end, or what nobody asked for, waits to be looked at: written to, it would seem to have
      // been sent.
      connection = host.idle.pollLast();
    }
    if (connection != null) {
      carry(connection, call);
      return;
    }
    call.connectBy =
        network
            .loop()
            .scheduleAfter(
                limits.connectTimeoutMicros(), () -> giveUp(call, AttemptStatus.CONNECT_FAILED));
    host.waiting.add(call);
    if (host.opening < host.waiting.size()) {
      open(host);
    }
  }

  /**
   * At the bound for sockets the call waits for a connection of its host, or for a socket, to come
   * free.
   */
  private void open(BackendHost host) {
    Acquisition verdict = sockets.tryAcquire(false);
    if (verdict != Acquisition.ACQUIRED && evict()) {
      verdict = sockets.tryAcquire(true);
    }
    if (verdict != Acquisition.ACQUIRED) {
      return;
    }
    AsynchronousSocketChannel channel;
    try {
      channel = network.newChannel();
    } catch (IOException e) {
      network.log().println("no socket for " + host.id + ": " + e.getMessage());
      sockets.release();
      return;
    }
    host.opening++;
    network.counters().add(Counters.Name.HOST_CONNECTIONS_OPENED);
    BackendConnection connection =
        new BackendConnection(network, channel, host, this, limits.connectTimeoutMicros());
    host.connections.add(connection);
    connection.open();
  }

  /** What another tenant is owed: an idle connection goes now, or the next that falls idle. */
  private void giveOneBack() {
    owes = sockets.excess() > 0 && !evict();
  }

  private void oneCame() {
    sockets.acknowledgeAvailable();
    for (BackendHost host : hosts.values()) {
      if (!openForWaiting(host)) {
        return;
      }
    }
  }

  /** As many connections as calls wait for; false where no socket is left for them. */
  private boolean openForWaiting(BackendHost host) {
    while (host.opening < host.waiting.size()) {
      int before = host.opening;
      open(host);
      if (host.opening == before) {
        return false;
      }
    }
    return true;
  }

  /** Its part of the sockets, which it shares with others, may change. */
  public void updateQuota(double weight, int mostSockets) {
    sockets.update(weight, mostSockets);
  }

  /** Sockets that are open to hosts. */
  public int openConnectionCount() {
    return sockets.inUse();
  }

  private boolean evict() {
    for (BackendHost host : hosts.values()) {
      if (!host.idle.isEmpty()) {
        host.idle.peekFirst().close(CloseReason.EVICTED);
        return true;
      }
    }
    return false;
  }

  void onConnectionReady(BackendConnection connection) {
    connection.host.opening--;
    onConnectionFree(connection);
  }

  /**
   * The connection carries nothing now: it takes the next call or idles, for less than hosts allow.
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
    BackendCall next = host.waiting.poll();
    // What the choice of one that waited rested on may hold no longer.
    while (next != null && next.attempt != null && !listener.mayStartAttempt(next.attempt)) {
      BackendCall late = next;
      network.post(() -> finishCall(late, BackendResponse.of(AttemptStatus.NOT_SENT)));
      next = host.waiting.poll();
    }
    if (next != null) {
      carry(connection, next);
    } else if (owes && sockets.excess() > 0) {
      owes = false;
      connection.close(CloseReason.GIVEN_BACK);
    } else if (hosts.get(host.id) != host) {
      connection.close(CloseReason.LEFT_LIST);
    } else {
      host.idle.addLast(connection);
      connection.idleUntil(network.loop().nowMicros() + limits.connectionIdleMicros() * 4 / 5);
    }
  }

  private void carry(BackendConnection connection, BackendCall call) {
    if (call.connectBy != null) {
      call.connectBy.cancel();
    }
    call.on = connection;
    if (call.attempt == null) {
      connection.begin(call, PROBE);
      return;
    }
    call.attempt.sentAtMicros = network.loop().nowMicros();
    long left = call.attempt.request.deadlineMicros - network.loop().nowMicros();
    connection.begin(
        call,
        Message.query(
            call.attempt.request.statement.withTimeToDeadlineMillis(Math.max(1, left / 1000))));
  }

  /** A connection that ends while it opens takes the call that waited longest with it. */
  void onConnectionClosed(BackendConnection connection) {
    BackendHost host = connection.host;
    sockets.release();
    host.connections.remove(connection);
    host.idle.remove(connection);
    if (!connection.ready()) {
      host.opening--;
      BackendCall first = host.waiting.poll();
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
    if (call.on != null) {
      call.on.abandon(reason);
    } else if (call.host != null) {
      call.host.waiting.remove(call);
    }
  }

  void finishCall(BackendCall call, BackendResponse reply) {
    if (call.over) {
      return;
    }
    call.over = true;
    call.on = null;
    call.endBy.cancel();
    if (call.connectBy != null) {
      call.connectBy.cancel();
    }
    if (call.attempt != null) {
      calls.remove(call.attempt);
      listener.onAttemptEnded(call.attempt, reply);
    } else {
      listener.onHealthCheckEnded(call.member, reply, network.loop().nowMicros() - call.startedAt);
    }
  }
}

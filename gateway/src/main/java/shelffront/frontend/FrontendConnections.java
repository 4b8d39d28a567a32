package shelffront.frontend;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import shelffront.net.CloseReason;
import shelffront.net.Counters;
import shelffront.net.Network;
import shelffront.pg.ProtocolException;
import shelffront.pg.SqlState;
import shelffront.pg.StartupParameters;
import shelffront.time.ShutdownSchedule;

/**
 * Accepts client connections up to a limit, and evicts idle ones when new clients need a slot.
 *
 * <p>Invariants: a connection occupies a slot of the instance that accepted it until it closes,
 * even after a move to another event loop, except that one that has not moved frees its slot when
 * it starts to linger; at most one accept is outstanding. Runs on the loop thread.
 */
public final class FrontendConnections {

  private static final int BACKLOG = 1024;

  /**
   * Lingering connections are allowed beyond the connection limit, up to this fraction of it. In a
   * shutdown they count against the limit instead, and all may linger.
   */
  private static final int LINGERING_DIVISOR = 16;

  private static final long ACCEPT_BACKOFF_MICROS = 20_000;

  final Network network;
  final TenantLookup tenantLookup;
  private final int maxConnections;
  private final int maxLingering;
  private final AsynchronousServerSocketChannel
      listener; // null if connections arrive only from another loop's listener
  private final Set<ClientConnection> connections = new LinkedHashSet<>();

  /** Connections with output shut down; closed when the client closes its side or on timeout. */
  private final Set<ClientConnection> lingering = new LinkedHashSet<>();

  /** Number of connections accepted here that moved to another loop, by their new owner. */
  private final Map<FrontendConnections, Integer> movedAwayCounts = new LinkedHashMap<>();

  private boolean accepting;

  /** Another attempt to evict a connection is scheduled. */
  private boolean recheckScheduled;

  /** No slot became free within the wait: new connections are accepted and rejected at once. */
  private boolean rejectsNewConnections;

  /** Null until a drain begins. */
  private ShutdownSchedule shutdown;

  /** Runs once no accept is outstanding; null until accepting is stopped. */
  private Runnable whenStopped;

  /** Binds the listener; connections are accepted after {@link #accept} is called. */
  public FrontendConnections(
      Network network, InetSocketAddress listen, int maxConnections, TenantLookup tenantLookup)
      throws IOException {
    this.network = network;
    maxLingering = Math.max(1, maxConnections / LINGERING_DIVISOR);
    this.maxConnections = maxConnections;
    this.tenantLookup = tenantLookup;
    listener = network.channels().listen(listen, BACKLOG);
  }

  /** An instance without a listener: its connections arrive from another event loop. */
  public FrontendConnections(Network network, TenantLookup tenantLookup) {
    this.network = network;
    this.tenantLookup = tenantLookup;
    maxConnections = Integer.MAX_VALUE;
    maxLingering = Integer.MAX_VALUE;
    listener = null;
  }

  public SocketAddress address() throws IOException {
    return listener.getLocalAddress();
  }

  /** Accepts the next connection, and further ones while slots are free. */
  public void accept() {
    accepting = true;
    listener.accept(
        null,
        new CompletionHandler<AsynchronousSocketChannel, Void>() {
          @Override
          public void completed(AsynchronousSocketChannel channel, Void none) {
            network.loop().post(() -> accepted(channel));
          }

          @Override
          public void failed(Throwable failure, Void none) {
            network.loop().post(() -> acceptFailed(failure));
          }
        });
  }

  private void accepted(AsynchronousSocketChannel channel) {
    accepting = false;
    network.counters().add(Counters.Name.CLIENTS_ACCEPTED);
    if (whenStopped != null) {
      network.loop().post(whenStopped);
    }
    ClientConnection connection = new ClientConnection(this, channel);
    connections.add(connection);
    connection.start();
    if (occupiedSlots() > maxConnections && !evict()) {
      connection.rejectConnection(
          new ProtocolException(SqlState.TOO_MANY_CONNECTIONS, "too many connections"),
          CloseReason.NO_PLACE);
    }
    acceptNext();
    if (!accepting && listener.isOpen()) {
      // The next connection waits in the backlog. The loop that owns most of the connections
      // accepted here is asked to evict one.
      movedAwayCounts.entrySet().stream()
          .max(Map.Entry.comparingByValue())
          .map(Map.Entry::getKey)
          .ifPresent(other -> other.network.loop().post(other::evict));
    }
  }

  /** Retries after a backoff, so that a temporary lack of descriptors does not end accepting. */
  private void acceptFailed(Throwable failure) {
    accepting = false;
    if (listener.isOpen()) {
      network
          .log()
          .println("accept failed: " + failure + "; retrying in " + ACCEPT_BACKOFF_MICROS + " us");
      network.loop().scheduleAt(nowMicros() + ACCEPT_BACKOFF_MICROS, this::acceptNext);
    } else if (whenStopped != null) {
      whenStopped.run();
    }
  }

  /**
   * Evicts one connection without outstanding work, so that clients that connect without sending
   * commands, or stay idle, do not exhaust the slots. Prefers a connection that has sent no
   * command, then the least recently used connection of the tenant with the most connections.
   *
   * @return whether a connection was evicted
   */
  private boolean evict() {
    ClientConnection victim = null;
    for (ClientConnection candidate : connections) {
      if (!candidate.isEvictable()) {
        continue;
      }
      if (candidate.isSilent()) {
        return candidate.closeIfIdle(CloseReason.EVICTED);
      }
      if (victim == null || candidate.tenantConnectionCount() > victim.tenantConnectionCount()) {
        victim = candidate;
      }
    }
    if (victim == null) {
      // Many clients connected at the same time, so none has been silent for long.
      victim =
          connections.stream()
              .filter(ClientConnection::isEvictableUnderPressure)
              .findFirst()
              .orElse(null);
    }
    return victim != null && victim.closeIfIdle(CloseReason.EVICTED);
  }

  private int occupiedSlots() {
    int count = connections.size() + (shutdown == null ? 0 : lingering.size());
    for (int each : movedAwayCounts.values()) {
      count += each;
    }
    return count;
  }

  /** Records a move to another loop; the slot here stays occupied until the connection closes. */
  void onMovedAway(ClientConnection connection, FrontendConnections to) {
    connections.remove(connection);
    movedAwayCounts.merge(to, 1, Integer::sum);
  }

  /** Takes over a connection that was accepted on another loop. */
  void onArrived(ClientConnection connection) {
    connections.add(connection);
  }

  /**
   * Tells this instance that a connection that was accepted here has closed on another loop. Called
   * on that loop.
   */
  void postClosedElsewhere(StartupParameters startup, FrontendConnections there) {
    network.loop().post(() -> onClosedElsewhere(startup, there));
  }

  /** Frees the slot of a connection that was accepted here and closed on another loop. */
  private void onClosedElsewhere(StartupParameters startup, FrontendConnections there) {
    tenantLookup.onConnectionClosed(startup, there);
    movedAwayCounts.merge(
        there, -1, (before, change) -> before + change == 0 ? null : before + change);
    acceptNext();
  }

  /** Keeps the connections ordered by last use, least recently used first. */
  void onUsed(ClientConnection connection) {
    if (connections.remove(connection)) {
      connections.add(connection);
    }
  }

  /** Called when a connection may have become idle; closes it if the gateway drains. */
  void onMaybeIdle(ClientConnection connection) {
    boolean closesIdle = shutdown != null && nowMicros() >= shutdown.closeIdleAtMicros();
    if (closesIdle && connection.isEvictable()) {
      connection.closeIfIdle(CloseReason.DRAINED);
    }
    acceptNext(); // An idle connection may be evicted for a client that waits in the backlog.
  }

  /**
   * The output of the connection is shut down. It frees its slot but still uses a descriptor, so
   * the oldest lingering connection is closed when there are too many. In a shutdown many
   * connections end at once, and closing one over unread input might destroy its last response.
   */
  void onLingering(ClientConnection connection) {
    connections.remove(connection);
    lingering.add(connection);
    if (shutdown == null && lingering.size() > maxLingering) {
      lingering.iterator().next().close(CloseReason.EVICTED);
    }
    acceptNext();
  }

  void onClosed(ClientConnection connection) {
    connections.remove(connection);
    lingering.remove(connection);
    acceptNext();
  }

  /**
   * Accepts the next connection if a slot is free or a connection can be evicted. Otherwise checks
   * again after a short wait, in which a new connection may turn out to be silent or an active one
   * may become idle. After that wait, new connections are accepted and rejected at once until a
   * slot is free: the system has already accepted those in the backlog, so each needs a response.
   */
  private void acceptNext() {
    if (listener == null || accepting || !listener.isOpen()) {
      return;
    }
    boolean hasSlot = occupiedSlots() < maxConnections || evict();
    rejectsNewConnections &= !hasSlot;
    if (accepting) {
      return; // the eviction has already started an accept
    }
    if (hasSlot || rejectsNewConnections) {
      accept();
    } else if (!recheckScheduled) {
      recheckScheduled = true;
      network
          .loop()
          .scheduleAt(
              nowMicros() + ClientActivity.BRIEF_SILENCE_MICROS + 1,
              () -> {
                recheckScheduled = false;
                rejectsNewConnections = true;
                acceptNext();
              });
    }
  }

  /**
   * Closes idle connections, and others as they become idle, once they are due by the schedule. New
   * connections are still accepted, because they may carry requests. Called repeatedly during a
   * drain.
   */
  public void drain(ShutdownSchedule schedule) {
    shutdown = schedule;
    List.copyOf(connections).forEach(this::onMaybeIdle);
  }

  /** The time by which every request must have its final response, as far as a shutdown decides. */
  long latestDeadlineMicros() {
    return shutdown == null ? Long.MAX_VALUE : shutdown.answerByMicros();
  }

  /**
   * Whether requests are still read. Requests that arrive afterwards stay unread, so that their
   * clients send them to another gateway when the connection ends.
   */
  boolean readsRequests() {
    return nowMicros() < latestDeadlineMicros();
  }

  private long nowMicros() {
    return network.loop().nowMicros();
  }

  /** Whether no connection is open, lingering or moved to another loop. */
  public boolean isEmpty() {
    return connections.isEmpty() && lingering.isEmpty() && movedAwayCounts.isEmpty();
  }

  /**
   * Closes the listener. {@code then} runs once no accept is outstanding, so that a connection
   * accepted concurrently is registered first.
   */
  public void stopAccepting(Runnable then) {
    whenStopped = then;
    closeListener();
    if (!accepting) {
      then.run();
    }
  }

  private void closeListener() {
    try {
      if (listener != null) {
        listener.close();
      }
    } catch (IOException e) {
      network.log().println("close listener failed: " + e.getMessage());
    }
  }

  /** Closes the listener and every connection at once. */
  public void close() {
    closeListener();
    List.copyOf(connections).forEach(connection -> connection.close(CloseReason.DRAINED));
    List.copyOf(lingering).forEach(connection -> connection.close(CloseReason.DRAINED));
  }
}

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

/**
 * Accepts the connections of clients, bounded in number, and evicts those of which nothing is owed
 * where others need a place.
 *
 * <p>Invariants: a connection holds its place where it was accepted until it has closed, wherever
 * it lives; at most one accept is outstanding. Runs on the loop thread.
 */
public final class FrontendConnections {

  private static final int BACKLOG = 1024;

  /**
   * Beyond the places, as a part of them: connections that were told to go and have not ended yet.
   */
  private static final int LINGERING_DIVISOR = 16;

  private static final long ACCEPT_BACKOFF_MICROS = 20_000;

  final Network network;
  final TenantLookup tenantLookup;
  private final int maxConnections;
  private final int maxLingering;
  private final AsynchronousServerSocketChannel
      listener; // null where they come from another loop's
  private final Set<ClientConnection> connections = new LinkedHashSet<>();

  /** Told that nothing more is sent on them; each ends with its client's end, or after a moment. */
  private final Set<ClientConnection> lingering = new LinkedHashSet<>();

  /** Those that came in here and live on another loop now, by whose they are there. */
  private final Map<FrontendConnections, Integer> movedAwayCounts = new LinkedHashMap<>();

  /** An accept is outstanding. */
  private boolean accepting;

  /** A further look at who may be evicted is scheduled. */
  private boolean recheckScheduled;

  /** There was no place for a while: who comes is told so. */
  private boolean rejectsNewcomers;

  private boolean draining;

  /** Runs once no accept is outstanding any more; null until accepting is stopped. */
  private Runnable whenStopped;

  /** Listens on the address, and accepts from {@link #accept} on. */
  public FrontendConnections(
      Network network, InetSocketAddress listen, int maxConnections, TenantLookup door)
      throws IOException {
    this.network = network;
    maxLingering = Math.max(1, maxConnections / LINGERING_DIVISOR);
    this.maxConnections = maxConnections;
    this.tenantLookup = door;
    listener = network.channels().listen(listen, BACKLOG);
  }

  /** Those of a loop without a listener: they come from one that has. */
  public FrontendConnections(Network network, TenantLookup door) {
    this.network = network;
    this.tenantLookup = door;
    maxConnections = Integer.MAX_VALUE;
    maxLingering = Integer.MAX_VALUE;
    listener = null;
  }

  public SocketAddress address() throws IOException {
    return listener.getLocalAddress();
  }

  /** Accepts the next connection, and goes on from there while there are places. */
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
    connection.begin();
    if (connections.size() + movedAwayCount() > maxConnections && !evict()) {
      connection.endWithError(
          new ProtocolException(SqlState.TOO_MANY_CONNECTIONS, "too many connections"),
          CloseReason.NO_PLACE);
    }
    acceptNext();
    if (!accepting && listener.isOpen()) {
      // The next one waits in the backlog for a moment. Whoever has most elsewhere is asked for
      // one.
      movedAwayCounts.entrySet().stream()
          .max(Map.Entry.comparingByValue())
          .map(Map.Entry::getKey)
          .ifPresent(other -> other.network.loop().post(other::evict));
    }
  }

  /** Guards against a moment without descriptors ending all accepting. */
  private void acceptFailed(Throwable failure) {
    accepting = false;
    if (listener.isOpen()) {
      network.log().println("accept failed: " + failure);
      network
          .loop()
          .scheduleAt(network.loop().nowMicros() + ACCEPT_BACKOFF_MICROS, this::acceptNext);
    } else if (whenStopped != null) {
      whenStopped.run();
    }
  }

  /**
   * Guards against those who connect and say nothing, or ask once and stay, taking the place of the
   * others: the first to go is one that has sent no command, then the one unused for longest of the
   * tenant that has most. Nothing is owed to any of them.
   */
  private boolean evict() {
    ClientConnection victim = null;
    for (ClientConnection candidate : connections) {
      if (!candidate.mayRetire()) {
        continue;
      }
      if (candidate.isSilent()) {
        return candidate.retire(CloseReason.EVICTED);
      }
      if (victim == null || candidate.siblingCount() > victim.siblingCount()) {
        victim = candidate;
      }
    }
    if (victim == null) {
      // So many came together that none could be silent for long.
      victim = connections.stream().filter(ClientConnection::mayMakeRoom).findFirst().orElse(null);
    }
    return victim != null && victim.retire(CloseReason.EVICTED);
  }

  private int movedAwayCount() {
    int count = 0;
    for (int each : movedAwayCounts.values()) {
      count += each;
    }
    return count;
  }

  /**
   * A connection leaves for another loop's clients; its place here stays taken until it ends there.
   */
  void onMovedAway(ClientConnection connection, FrontendConnections to) {
    connections.remove(connection);
    movedAwayCounts.merge(to, 1, Integer::sum);
  }

  /** A connection that came in elsewhere lives here from now on. */
  void onArrived(ClientConnection connection) {
    connections.add(connection);
  }

  /** One that came in here has ended with another loop's clients. */
  void onClosedElsewhere(Map<String, String> startup, FrontendConnections there) {
    tenantLookup.onConnectionClosed(startup, there);
    movedAwayCounts.merge(
        there, -1, (before, change) -> before + change == 0 ? null : before + change);
    acceptNext();
  }

  /** Keeps the connections in the order of their last use. */
  void onUsed(ClientConnection connection) {
    if (connections.remove(connection)) {
      connections.add(connection);
    }
  }

  /** The connection may have nothing more to do. */
  void onMaybeIdle(ClientConnection connection) {
    if (draining && connection.mayRetire()) {
      connection.retire(CloseReason.DRAINED);
    }
    acceptNext(); // One that fell idle gives its place to one that waits in the backlog.
  }

  /**
   * Nothing more is sent on the connection. It has no place any more, but a descriptor, of which
   * there are few.
   */
  void onLingering(ClientConnection connection) {
    connections.remove(connection);
    lingering.add(connection);
    if (lingering.size() > maxLingering) {
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
   * Accepts the next one where there is a place, or somebody to give his up. Where not, that may be
   * so in a moment: one that has just come turns out to be silent, one in work falls idle. After
   * that moment those that come are told at once that there is no place, until there is one: what
   * waits in the backlog has been taken, and is owed an answer.
   */
  private void acceptNext() {
    if (listener == null || accepting || !listener.isOpen()) {
      return;
    }
    boolean room = connections.size() + movedAwayCount() < maxConnections || evict();
    rejectsNewcomers &= !room;
    if (accepting) {
      return; // what was evicted has made room by itself
    }
    if (room || rejectsNewcomers) {
      accept();
    } else if (!recheckScheduled) {
      recheckScheduled = true;
      network
          .loop()
          .scheduleAt(
              network.loop().nowMicros() + ClientActivity.BRIEF_SILENCE_MICROS + 1,
              () -> {
                recheckScheduled = false;
                rejectsNewcomers = true;
                acceptNext();
              });
    }
  }

  /**
   * Closes what is idle now and what falls idle later; new ones are still taken, for they may carry
   * requests.
   */
  public void drain() {
    draining = true;
    List.copyOf(connections).forEach(this::onMaybeIdle);
  }

  /** Whether no connection is left. */
  public boolean isEmpty() {
    return connections.isEmpty() && lingering.isEmpty() && movedAwayCounts.isEmpty();
  }

  /**
   * Takes no further connections, and says once it is known whether one was accepted in this
   * moment.
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

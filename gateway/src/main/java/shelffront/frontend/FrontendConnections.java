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
import java.util.function.Consumer;
import shelffront.net.CloseReason;
import shelffront.net.Counters;
import shelffront.net.Network;
import shelffront.pg.ProtocolException;
import shelffront.pg.SqlState;
import shelffront.request.ClientRequest;
import shelffront.routing.RequestClass;

/**
 * The client side: accepts connections, bounded in number, and passes their requests on as
 * exchanges.
 */
public final class FrontendConnections {

  /** Finds who serves a client. */
  public interface TenantLookup {

    /**
     * Finds out who serves a client, where that takes time: {@code then} runs later on the loop of
     * these clients, with null or with what the client is told. False, and nothing runs later,
     * where it is known already.
     */
    default boolean lookUp(
        Map<String, String> startup, FrontendConnections here, Consumer<ProtocolException> then) {
      return false;
    }

    /**
     * Who serves a client on the loop where its tenant lives; by default those where it came in.
     */
    default FrontendConnections connectionsFor(
        Map<String, String> startup, FrontendConnections here) {
      return here;
    }

    /** A connection that {@link #connectionsFor} sent elsewhere has ended there. */
    default void onConnectionClosed(Map<String, String> startup, FrontendConnections there) {}

    /**
     * By the parameters of its startup message; throws where nobody does, with what the client is
     * told.
     */
    RequestHandler authenticate(Map<String, String> startup) throws ProtocolException;

    /**
     * Whether a client that begins like this is asked for a password first; the same for names
     * nobody has.
     */
    boolean requiresPassword(Map<String, String> startup);

    /** As {@link #authenticate(Map)}, with the password that it gave. */
    RequestHandler authenticate(Map<String, String> startup, byte[] password)
        throws ProtocolException;
  }

  /** A client's connection, as the one that serves it sees it. */
  public interface ClientHandle {

    boolean isIdle();

    /** Ends it with an error once what is in work has been answered. */
    void endWithError(ProtocolException why, CloseReason reason);
  }

  /** Takes requests in; each is answered through its exchange. */
  public interface RequestHandler {

    /** What its clients' connections post to, borrow from and count in. */
    Network network();

    List<RequestClass> requestClasses();

    void onClientConnected(ClientHandle client);

    void onClientClosed(ClientHandle client);

    /** Connections that it has now. */
    int clientCount();

    /** Throws where the request can't be taken for what it says; nothing has been done then. */
    void validate(ClientRequest request) throws ProtocolException;

    /**
     * The position, in microseconds, is that of the session's last write as the client tells it, or
     * unknown.
     */
    void handle(
        ClientRequest request,
        String session,
        int replicaSet,
        long requiredPositionMicros,
        boolean repeat);

    /** The client waits no longer; no answer is owed. */
    void onRequestAbandoned(ClientRequest request);
  }

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

  private boolean accepting; // an accept is out
  private boolean recheckScheduled; // a look at who may go is due
  private boolean rejectsNewcomers; // there was no place for a while: who comes is told so
  private boolean draining;
  private Runnable whenStopped; // to be told that no accept is out any more

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

package shelffront.backend;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * One database host: its address, its connections, and the calls that wait for a connection. {@link
 * #openingCount} is the number of connections that are not ready yet. Owned by {@link
 * BackendConnections}.
 */
final class BackendHost {

  final String id;
  InetSocketAddress address;
  final Set<BackendConnection> connections = new LinkedHashSet<>();
  final ArrayDeque<BackendConnection> idleConnections = new ArrayDeque<>();
  final ArrayDeque<BackendCall> waitingCalls = new ArrayDeque<>();
  int openingCount;

  BackendHost(String id) {
    this.id = id;
  }
}

package shelffront.backend;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * One database host: its address, the connections to it, and the calls that wait for one. Owned by
 * {@link BackendConnections}; {@link #openingCount} is the number of connections that are not ready
 * yet.
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

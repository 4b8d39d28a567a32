package shelffront.server;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Set;

/** One database host: its address, the connections to it, and the calls that wait for one. */
final class Host {

  final String id;
  InetSocketAddress address;
  final Set<HostConnection> connections = new LinkedHashSet<>();
  final ArrayDeque<HostConnection> idle = new ArrayDeque<>();
  final ArrayDeque<HostCall> waiting = new ArrayDeque<>();
  int opening;

  Host(String id) {
    this.id = id;
  }
}

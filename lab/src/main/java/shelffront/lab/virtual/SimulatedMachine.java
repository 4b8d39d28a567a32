package shelffront.lab.virtual;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** A machine on the virtual network, with the ends of its connections. */
public final class SimulatedMachine {

  final String name;
  final Set<SimulatedSocket> sockets = new LinkedHashSet<>();
  private boolean isolated;

  SimulatedMachine(String name) {
    this.name = name;
  }

  /** Cut off: nothing reaches it or leaves it, and nothing says so. */
  public void isolate() {
    isolated = true;
  }

  /** Back again: what was open before is reset when anything comes on it. */
  public void rejoin() {
    isolated = false;
    sockets.forEach(SimulatedSocket::forget);
  }

  public boolean isIsolated() {
    return isolated;
  }

  /** Its process ends: all its connections are reset. */
  public void resetAll() {
    List<SimulatedSocket> all = new ArrayList<>(sockets);
    all.forEach(SimulatedSocket::reset);
  }

  /** Connections that are open on it. */
  public int connectionCount() {
    return sockets.size();
  }

  @Override
  public String toString() {
    return name;
  }
}

package shelffront.lab.virtual;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** A machine on the virtual network and its sockets. */
public final class SimulatedMachine {

  final String name;
  final Set<SimulatedSocket> sockets = new LinkedHashSet<>();
  private boolean isolated;

  SimulatedMachine(String name) {
    this.name = name;
  }

  /** Isolates the machine: all traffic to and from it is dropped silently. */
  public void isolate() {
    isolated = true;
  }

  /**
   * Ends the isolation. Connections that were open are forgotten: data that arrives on them is
   * answered with a reset.
   */
  public void rejoin() {
    isolated = false;
    sockets.forEach(SimulatedSocket::forget);
  }

  public boolean isIsolated() {
    return isolated;
  }

  /** Resets all connections, as the end of the machine's process does. */
  public void resetAll() {
    List<SimulatedSocket> all = new ArrayList<>(sockets);
    all.forEach(SimulatedSocket::reset);
  }

  /** Returns the number of sockets that are not closed, including those still connecting. */
  public int connectionCount() {
    return sockets.size();
  }

  @Override
  public String toString() {
    return name;
  }
}

package shelffront.lab.virtual;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** A machine on the virtual network, with the ends of its connections. */
public final class SimulatedMachine {

  final String name;
  final Set<SimulatedSocket> ends = new LinkedHashSet<>();
  private boolean away;

  SimulatedMachine(String name) {
    this.name = name;
  }

  /** Cut off: nothing reaches it or leaves it, and nothing says so. */
  public void vanish() {
    away = true;
  }

  /** Back again: what was open before is reset when anything comes on it. */
  public void comeBack() {
    away = false;
    ends.forEach(SimulatedSocket::forget);
  }

  public boolean isAway() {
    return away;
  }

  /** Its process ends: all its connections are reset. */
  public void resetAll() {
    List<SimulatedSocket> all = new ArrayList<>(ends);
    all.forEach(SimulatedSocket::reset);
  }

  /** Connections that are open on it. */
  public int connections() {
    return ends.size();
  }

  @Override
  public String toString() {
    return name;
  }
}

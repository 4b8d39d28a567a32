package shelffront.gateway;

import shelffront.time.ShutdownSchedule;

/** The tenants behind a listener during a shutdown. Called on the listener's event loop. */
public interface DrainableTenants {

  /** The longest deadline of any request class. */
  long longestDeadlineMicros();

  /**
   * Continues a drain: applies what is due by the schedule. Called when the drain begins and
   * repeatedly from then on.
   *
   * @return whether no tenant has an open request
   */
  boolean drain(ShutdownSchedule schedule);

  /** Closes the connections to hosts and discovery. */
  void close();
}

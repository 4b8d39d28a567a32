package shelffront.routing;

/** State of a member in the list. */
public enum Availability {
  READY,
  DRAINING,
  REMOVED
}

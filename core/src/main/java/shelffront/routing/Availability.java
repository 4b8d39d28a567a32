package shelffront.routing;

/** State of an endpoint in the endpoint list. */
public enum Availability {
  READY,
  DRAINING,
  REMOVED
}

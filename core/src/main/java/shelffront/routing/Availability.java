package shelffront.routing;

/** Availability of an endpoint according to the endpoint list. */
public enum Availability {
  READY,
  DRAINING,
  REMOVED
}

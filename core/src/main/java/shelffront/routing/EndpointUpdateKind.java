package shelffront.routing;

/**
 * Kind of an endpoint update; {@code CACHED} is the list saved before a restart and may be
 * outdated.
 */
public enum EndpointUpdateKind {
  DELTA,
  SNAPSHOT,
  CACHED,
  FAILED
}

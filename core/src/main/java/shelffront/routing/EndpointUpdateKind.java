package shelffront.routing;

/**
 * Kind of news about the list; {@code REMEMBERED} is the last list before a restart, maybe
 * outdated.
 */
public enum EndpointUpdateKind {
  DELTA,
  SNAPSHOT,
  CACHED,
  FAILED
}

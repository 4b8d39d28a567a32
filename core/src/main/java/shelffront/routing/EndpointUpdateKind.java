package shelffront.routing;

/** Kind of an endpoint update; {@code CACHED} is the last list before a restart, maybe outdated. */
public enum EndpointUpdateKind {
  DELTA,
  SNAPSHOT,
  CACHED,
  FAILED
}

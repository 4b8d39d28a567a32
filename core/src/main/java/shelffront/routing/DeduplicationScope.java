package shelffront.routing;

/** The members that discard repeats of a keyed request. */
public enum DeduplicationScope {
  ALL,
  ZONE,
  REPLICA_SET
}

package shelffront.routing;

/** The hosts among which repeats of a request with an idempotency key are discarded. */
public enum DeduplicationScope {
  ALL,
  ZONE,
  REPLICA_SET
}

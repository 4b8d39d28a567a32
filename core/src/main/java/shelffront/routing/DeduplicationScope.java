package shelffront.routing;

/** The hosts that discard repeats of a request with an idempotency key. */
public enum DeduplicationScope {
  ALL,
  ZONE,
  REPLICA_SET
}

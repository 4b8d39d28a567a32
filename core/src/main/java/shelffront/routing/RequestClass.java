package shelffront.routing;

/**
 * Limits, consistency and value that all requests of one kind share.
 *
 * @param latencyObjectiveMicros time within which a response earns its full value
 * @param deadlineMicros time from arrival after which the client stops waiting
 * @param priorityWeight value of a timely response, relative to other classes
 * @param lateValueFraction fraction of that value that a response after the objective still earns
 * @param deduplicationScope hosts among which repeats are discarded; only used with an idempotency
 *     key
 * @param deduplicationWindowMicros time from the first attempt during which repeats are discarded
 * @param maxStalenessMicros maximum age of the data read, for {@link Consistency#BOUNDED_STALENESS}
 */
public record RequestClass(
    String name,
    long latencyObjectiveMicros,
    long deadlineMicros,
    double priorityWeight,
    double lateValueFraction,
    Idempotency idempotency,
    DeduplicationScope deduplicationScope,
    long deduplicationWindowMicros,
    Consistency consistency,
    long maxStalenessMicros) {

  /** Whether a request may be executed any number of times. */
  public boolean isIdempotent() {
    return idempotency == Idempotency.IDEMPOTENT;
  }

  /** Whether a request may be executed at most once. */
  public boolean isNonIdempotent() {
    return idempotency == Idempotency.NON_IDEMPOTENT;
  }

  /** Whether repeats of a request of this class are discarded within exactly the given scope. */
  public boolean isDeduplicatedWithin(DeduplicationScope scope) {
    return idempotency == Idempotency.IDEMPOTENCY_KEY && deduplicationScope == scope;
  }

  /** Whether requests of this class change data. */
  public boolean isWrite() {
    return consistency == Consistency.WRITE;
  }

  /** Whether only the primary may serve requests of this class. */
  public boolean requiresPrimary() {
    return consistency == Consistency.WRITE || consistency == Consistency.STRONG;
  }
}

package shelffront.routing;

/** One request class. {@code bound} is the greatest age of data, for bounded reads. */
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

  public boolean isIdempotent() {
    return idempotency == Idempotency.IDEMPOTENT;
  }

  public boolean isNonIdempotent() {
    return idempotency == Idempotency.NON_IDEMPOTENT;
  }

  /** Whether those of the given scope drop a repeat of a request of this class. */
  public boolean isDeduplicatedWithin(DeduplicationScope given) {
    return idempotency == Idempotency.IDEMPOTENCY_KEY && deduplicationScope == given;
  }

  public boolean isWrite() {
    return consistency == Consistency.WRITE;
  }

  /** Whether only the primary may answer it. */
  public boolean requiresPrimary() {
    return consistency == Consistency.WRITE || consistency == Consistency.STRONG;
  }
}

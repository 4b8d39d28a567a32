package shelffront.routing;

/**
 * What requests of one kind need and are worth.
 *
 * @param latencyObjectiveMicros an answer within this time earns the full value
 * @param deadlineMicros how long a client waits in all
 * @param priorityWeight value of an answer in time, relative to other classes
 * @param lateValueFraction part of that value which an answer after the objective keeps
 * @param deduplicationScope hosts that discard repeats; counts with an idempotency key only
 * @param deduplicationWindowMicros how long they do so, from the first attempt on
 * @param maxStalenessMicros greatest age of data, for {@link Consistency#BOUNDED_STALENESS}
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

  /** Whether it may run any number of times. */
  public boolean isIdempotent() {
    return idempotency == Idempotency.IDEMPOTENT;
  }

  /** Whether it may run once at most. */
  public boolean isNonIdempotent() {
    return idempotency == Idempotency.NON_IDEMPOTENT;
  }

  /** Whether the hosts of a scope discard repeats of a request of this class. */
  public boolean isDeduplicatedWithin(DeduplicationScope scope) {
    return idempotency == Idempotency.IDEMPOTENCY_KEY && deduplicationScope == scope;
  }

  /** Whether it changes data. */
  public boolean isWrite() {
    return consistency == Consistency.WRITE;
  }

  /** Whether only the primary may answer it. */
  public boolean requiresPrimary() {
    return consistency == Consistency.WRITE || consistency == Consistency.STRONG;
  }
}

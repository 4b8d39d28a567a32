package shelffront.routing;

/** Final status of an attempt or a health check. */
public enum AttemptStatus {
  OK(false),
  ERROR(false),
  CAPACITY_EXCEEDED(true),
  TIMEOUT(false),
  CONNECT_FAILED(true),
  RESET(false),
  CANCELLED(false),
  NOT_SENT(true),
  REPLICA_UNSUITABLE(true);

  /** Whether this status guarantees that the host did not execute the request. */
  public final boolean provesNotExecuted;

  AttemptStatus(boolean provesNotExecuted) {
    this.provesNotExecuted = provesNotExecuted;
  }
}

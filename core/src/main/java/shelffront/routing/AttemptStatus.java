package shelffront.routing;

/** How an attempt or a health check ended. */
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

  /** True when this outcome proves that the request never ran. */
  public final boolean provesNotExecuted;

  AttemptStatus(boolean provesNotExecuted) {
    this.provesNotExecuted = provesNotExecuted;
  }
}

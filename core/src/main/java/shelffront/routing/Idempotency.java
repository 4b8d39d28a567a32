package shelffront.routing;

/** Whether a request may be executed more than once. */
public enum Idempotency {
  IDEMPOTENT,
  IDEMPOTENCY_KEY,
  NON_IDEMPOTENT
}

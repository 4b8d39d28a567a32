package shelffront.lab.invariants;

/** The invariants. The names are printed in reports of violations. */
public enum Rule {
  /** Each request gets exactly one response. */
  ONE_ANSWER,
  /** A response arrives by the deadline of its request. */
  IN_TIME,
  /** Requests and responses arrive unaltered, at the peer they belong to. */
  RIGHT_VALUE,
  /** Attempts of one request overlap only where hedging is permitted. */
  ONE_ATTEMPT_OUT,
  /** A write is retried only as the idempotency of its class permits. */
  CLASS_PERMITS,
  /** No write takes effect twice. */
  NO_DOUBLE_EFFECT,
  /** A write reported as served has taken effect. */
  NOTHING_LOST,
  /** A rejected request has not been executed. */
  TRUE_REFUSAL,
  /** No request is sent to a host whose drain has been announced. */
  DRAIN,
  /** No host is overloaded while it warms up. */
  COLD,
  /** Strong reads come from the primary; bounded staleness holds. */
  FRESH,
  /** A session read reflects the writes of its session. */
  OWN_WRITES,
  /** A stopped gateway has released its channels and buffers. */
  NOTHING_LEFT,
  /** The event loops of a gateway counted no internal fault. */
  NO_FAULT
}

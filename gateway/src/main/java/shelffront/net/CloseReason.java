package shelffront.net;

import java.util.Locale;

/**
 * Why a connection ended. The codes are published: in the log, and in {@code
 * docs/operators/on-call.md}.
 */
public enum CloseReason {
  /** The peer ended it. */
  PEER_CLOSED,
  /** It broke. */
  PEER_RESET,
  /** The client said goodbye, or sent a cancel request. */
  TERMINATED,
  /** It could not be set up. */
  CONNECT_FAILED,
  /** A host did not declare it ready in time. */
  CONNECT_TIMEOUT,
  /** A client sent no whole command in time. */
  STARTUP_TIMEOUT,
  /** It was unused, or part of a command was not followed by the rest, for too long. */
  IDLE,
  /** It gave its place or socket to another. */
  EVICTED,
  /** The peer took none of what was written. */
  WRITE_STALLED,
  /** A client's bytes do not fit the protocol. */
  MALFORMED,
  /** A message exceeds the bound of its connection. */
  TOO_LARGE,
  /** The memory budget is used up. */
  NO_MEMORY,
  /** A host ended it with an error. */
  REFUSED_BY_HOST,
  /** Its attempt was cancelled. */
  CANCELLED,
  /** The deadline of its attempt or health check came. */
  TIMED_OUT,
  /** Its socket went to another tenant, or its host needs the place. */
  GIVEN_BACK,
  /** Its endpoint left the list or moved to another address. */
  LEFT_LIST,
  /** The call of discovery is complete. */
  ANSWERED,
  /** The peer was silent for too long. */
  SILENT,
  /** A new watch takes its place. */
  REPLACED,
  /** A malformed response. */
  BAD_ANSWER,
  /** A host sent bytes that belong to no request. */
  SURPLUS,
  /** A fault of this program. */
  FAULT,
  /** The gateway stops. */
  DRAINED,
  /** All places for clients are in use. */
  NO_PLACE,
  /** The client names no tenant, or none that it may use. */
  NO_TENANT,
  /** Its tenant has as many connections as it may. */
  TENANT_FULL,
  /** Its tenant was removed or replaced. */
  TENANT_GONE;

  /** The word in the log line. */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}

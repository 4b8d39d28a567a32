package shelffront.net;

import java.util.Locale;

/**
 * Why a connection ended. The codes are published: in the log, and in {@code
 * docs/operators/on-call.md}.
 */
public enum CloseReason {
  /** The peer closed the connection. */
  PEER_CLOSED,
  /** An I/O error, such as a reset by the peer. */
  PEER_RESET,
  /** The client sent a Terminate message or a cancel request. */
  TERMINATED,
  /** The connection could not be established. */
  CONNECT_FAILED,
  /** A host did not report that it is ready for queries within the connect timeout. */
  CONNECT_TIMEOUT,
  /** A client did not complete its first command in time. */
  STARTUP_TIMEOUT,
  /** The connection was unused, or a command remained incomplete, for too long. */
  IDLE,
  /** The connection's slot or socket was needed for another connection. */
  EVICTED,
  /** The peer did not accept the output within the write timeout. */
  WRITE_STALLED,
  /** A client sent bytes that violate the protocol. */
  MALFORMED,
  /** A message exceeds the size limit of its connection. */
  TOO_LARGE,
  /** The memory budget is exhausted. */
  NO_MEMORY,
  /** A host ended the connection with an error. */
  REFUSED_BY_HOST,
  /** The attempt on this connection was cancelled. */
  CANCELLED,
  /** The deadline of the attempt or health check passed. */
  TIMED_OUT,
  /** The connection's socket was released for another tenant, or the host needs the slot. */
  GIVEN_BACK,
  /** The connection's endpoint left the endpoint list or moved to another address. */
  LEFT_LIST,
  /** The discovery call is complete. */
  ANSWERED,
  /** The peer sent nothing complete within the silence timeout. */
  SILENT,
  /** A watch was replaced by a new one or is no longer wanted. */
  REPLACED,
  /** The peer sent a malformed response. */
  BAD_ANSWER,
  /** A host sent bytes that belong to no request. */
  SURPLUS,
  /** An internal error of this program. */
  FAULT,
  /** The gateway is shutting down. */
  DRAINED,
  /** The limit of client connections is reached. */
  NO_PLACE,
  /** The client named no tenant, or none that it may use. */
  NO_TENANT,
  /** The connection's tenant has reached its connection limit. */
  TENANT_FULL,
  /** The connection's tenant was removed or replaced. */
  TENANT_GONE;

  /** The code in the log line: the name in lower case with hyphens. */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}

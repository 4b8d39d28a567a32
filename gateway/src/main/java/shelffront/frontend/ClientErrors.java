package shelffront.frontend;

import shelffront.net.CloseReason;
import shelffront.pg.Message;
import shelffront.pg.ProtocolException;
import shelffront.pg.SqlState;

/** Builds the ErrorResponses to clients and maps errors to the close reasons of connections. */
final class ClientErrors {

  private static final long MICROS_PER_MILLI = 1000;

  private ClientErrors() {}

  /** The request was not executed. A Retry-After of 0 is omitted from the response. */
  static byte[] rejected(long retryAfterMicros) {
    return Message.error(
        false,
        SqlState.TOO_MANY_CONNECTIONS,
        "refused untouched, it may be sent again",
        retryAfterMicros > 0 ? millisRoundedUp(retryAfterMicros) : null);
  }

  private static String millisRoundedUp(long micros) {
    return Long.toString((micros + MICROS_PER_MILLI - 1) / MICROS_PER_MILLI);
  }

  /** The request was not executed, and this gateway will not execute it if it is sent again. */
  static byte[] unavailable() {
    return Message.error(
        false,
        SqlState.CANNOT_CONNECT_NOW,
        "refused untouched, the database is being removed",
        null);
  }

  /** The request may or may not have been executed. */
  static byte[] failed() {
    return Message.error(
        false, SqlState.STATEMENT_COMPLETION_UNKNOWN, "failed, its effect is not known", null);
  }

  /** The command cannot be served; the connection stays open. */
  static byte[] invalid(ProtocolException failure) {
    return Message.error(false, failure.sqlState(), failure.getMessage(), null);
  }

  /** The connection is closed after this error. */
  static byte[] fatal(ProtocolException failure) {
    return Message.error(true, failure.sqlState(), failure.getMessage(), null);
  }

  /** The command belongs to the extended query protocol. */
  static byte[] extendedProtocol() {
    return Message.error(
        false, SqlState.FEATURE_NOT_SUPPORTED, "only simple queries are served", null);
  }

  /** The input exceeds the connection's buffer limit or the memory budget. */
  static ProtocolException inputOverflow(CloseReason reason) {
    SqlState sqlState =
        reason == CloseReason.NO_MEMORY ? SqlState.OUT_OF_MEMORY : SqlState.PROGRAM_LIMIT_EXCEEDED;
    return new ProtocolException(sqlState, "the message is too large");
  }

  /** The close reason of a connection whose input failed with this SQLSTATE. */
  static CloseReason closeReasonOf(SqlState sqlState) {
    return switch (sqlState) {
      case PROGRAM_LIMIT_EXCEEDED -> CloseReason.TOO_LARGE;
      case OUT_OF_MEMORY -> CloseReason.NO_MEMORY;
      case INVALID_CATALOG_NAME -> CloseReason.NO_TENANT;
      case TOO_MANY_CONNECTIONS -> CloseReason.TENANT_FULL;
      case CANNOT_CONNECT_NOW -> CloseReason.TENANT_GONE;
      default -> CloseReason.MALFORMED;
    };
  }
}

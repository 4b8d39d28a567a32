package shelffront.backend;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.zip.CRC32;
import shelffront.pg.Message;
import shelffront.pg.ProtocolException;
import shelffront.pg.SqlState;
import shelffront.routing.AttemptStatus;
import shelffront.routing.LoadReport;

/**
 * Parses a host's response to one query: RowDescription, one DataRow with one column and
 * CommandComplete, or an ErrorResponse, or an EmptyQueryResponse where one is allowed; then
 * ReadyForQuery. Any other message sequence or content is malformed, and no part of a malformed
 * response is used.
 */
final class QueryResponse {

  private enum Stage {
    DESCRIPTION,
    ROW,
    COMPLETION,
    READY,
    DONE
  }

  /** Limit for messages other than DataRow. */
  private static final int MAX_OTHER_BYTES = 8192;

  private static final Map<String, AttemptStatus> STATUS_BY_SQLSTATE =
      Map.of(
          SqlState.READ_ONLY_SQL_TRANSACTION.code(), AttemptStatus.REPLICA_UNSUITABLE,
          SqlState.SNAPSHOT_TOO_OLD.code(), AttemptStatus.REPLICA_UNSUITABLE,
          SqlState.TOO_MANY_CONNECTIONS.code(), AttemptStatus.CAPACITY_EXCEEDED,
          SqlState.CANNOT_CONNECT_NOW.code(), AttemptStatus.CAPACITY_EXCEEDED);

  private static final Set<String> REPORTED_PARAMETERS =
      Set.of("server_role", "commit_clock", "usage");

  private final boolean emptyQueryAllowed;
  private final ByteArrayOutputStream messages = new ByteArrayOutputStream();
  private final CRC32 checksum = new CRC32();
  private final Map<String, String> parameters = new HashMap<>();
  private Stage expectedStage = Stage.DESCRIPTION;
  private String value; // the single column of the row
  private String errorCode;
  private boolean fatal;
  private boolean toEmptyQuery;

  /**
   * Creates a response of which nothing has been received.
   *
   * @param emptyQueryAllowed whether it may be the response to an empty query
   */
  QueryResponse(boolean emptyQueryAllowed) {
    this.emptyQueryAllowed = emptyQueryAllowed;
  }

  /**
   * Reads the next message, or returns null if more bytes are needed. Type and length are checked
   * before the body has arrived.
   */
  Message next(ByteBuffer in) throws ProtocolException {
    String types =
        switch (expectedStage) {
          case DESCRIPTION -> emptyQueryAllowed ? "TESNI" : "TESN";
          case ROW -> "DESN";
          case COMPLETION -> "CESN";
          case READY -> "ZSN";
          case DONE -> "";
        };
    return Message.readNext(
        in,
        types,
        in.hasRemaining() && in.get(in.position()) == 'D'
            ? Message.MAX_ROW_BYTES
            : MAX_OTHER_BYTES);
  }

  /** Applies a message from {@link #next}; throws if its body is malformed. */
  void apply(Message message) throws ProtocolException {
    switch (message.type()) {
      case 'S' -> {
        String[] nameAndValue = message.readStrings(2);
        if (REPORTED_PARAMETERS.contains(nameAndValue[0])) {
          parameters.put(nameAndValue[0], nameAndValue[1]);
        }
      }
      case 'N' -> message.errorFields();
      case 'T' -> {
        message.requireSingleColumnDescription();
        keep(message, Stage.ROW);
      }
      case 'D' -> {
        value = message.singleColumnValue();
        keep(message, Stage.COMPLETION);
      }
      case 'C' -> applyCompletion(message);
      case 'E' -> applyError(message);
      case 'I' -> {
        toEmptyQuery = true;
        expectedStage = Stage.READY;
      }
      default -> {
        if (message.body().length != 1 || message.body()[0] != 'I') {
          throw new ProtocolException(
              SqlState.PROTOCOL_VIOLATION,
              "ReadyForQuery with "
                  + message.body().length
                  + " bytes does not report an idle session, expected the single byte I");
        }
        expectedStage = Stage.DONE;
      }
    }
  }

  private void applyCompletion(Message message) throws ProtocolException {
    if (!message.readStrings(1)[0].matches("SHOW|[A-Z]+( [0-9]+)? 1")) {
      throw new ProtocolException(
          SqlState.PROTOCOL_VIOLATION,
          "CommandComplete tag of "
              + (message.body().length - 1)
              + " bytes is not that of SHOW or of a command with exactly one row");
    }
    keep(message, Stage.READY);
  }

  private void applyError(Message message) throws ProtocolException {
    Map<Character, String> fields = message.errorFields();
    checksum.update(message.body());
    errorCode = fields.getOrDefault('C', "");
    fatal = "FATAL".equals(fields.get('S'));
    if (!errorCode.matches("[0-9A-Z]{5}")) {
      throw new ProtocolException(
          SqlState.PROTOCOL_VIOLATION,
          "ErrorResponse has an SQLSTATE of "
              + errorCode.length()
              + " characters, expected 5 characters of 0-9 and A-Z");
    }
    expectedStage = Stage.READY;
  }

  private void keep(Message message, Stage next) {
    byte[] bytes = message.bytes();
    messages.writeBytes(bytes);
    checksum.update(bytes);
    expectedStage = next;
  }

  /** Whether at least one part of the response has been received. */
  boolean hasBegun() {
    return expectedStage != Stage.DESCRIPTION || !parameters.isEmpty();
  }

  /** Whether ReadyForQuery has been received. */
  boolean isComplete() {
    return expectedStage == Stage.DONE;
  }

  /** Whether the outcome has been received; the host may close the connection from here on. */
  boolean isOutcomeKnown() {
    return expectedStage == Stage.READY || isComplete();
  }

  /** Whether the host closes the connection after this error, without ReadyForQuery. */
  boolean isFatal() {
    return fatal;
  }

  /** Whether this is the response to an empty query. */
  boolean isToEmptyQuery() {
    return toEmptyQuery;
  }

  /**
   * Checksum of the row or the error. Two copies of a response have the same one, even if their
   * ParameterStatus messages differ. Not negative.
   */
  long checksum() {
    return checksum.getValue();
  }

  /** Size of the messages kept for the client, in bytes. */
  int keptBytes() {
    return messages.size();
  }

  /** Returns the outcome of a complete response. A malformed load report only drops the report. */
  BackendResponse toBackendResponse(boolean healthCheck) {
    AttemptStatus status =
        errorCode == null
            ? AttemptStatus.OK
            : STATUS_BY_SQLSTATE.getOrDefault(errorCode, AttemptStatus.ERROR);
    LoadReport report = LoadReportParser.parse(healthCheck ? value : parameters.get("usage"));
    return new BackendResponse(
        status,
        LoadReportParser.parseRole(parameters.get("server_role")),
        LoadReportParser.parsePositionMicros(parameters.get("commit_clock")),
        report,
        status == AttemptStatus.OK ? messages.toByteArray() : null);
  }
}

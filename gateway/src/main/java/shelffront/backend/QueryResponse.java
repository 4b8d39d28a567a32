package shelffront.backend;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import shelffront.pg.Message;
import shelffront.pg.ProtocolException;
import shelffront.pg.SqlState;
import shelffront.routing.AttemptStatus;
import shelffront.routing.LoadReport;

/**
 * What a host says to one query, message by message: RowDescription, one DataRow of one column,
 * CommandComplete, or an ErrorResponse; then ReadyForQuery. Anything else, whole or in part, is a
 * spoilt answer: of it nothing counts.
 */
final class QueryResponse {

  private enum Part {
    DESCRIPTION,
    ROW,
    COMPLETION,
    READY,
    OVER
  }

  private static final int GREATEST_OTHER = 8192; // Any message but a row.

  private static final Map<String, AttemptStatus> STATUS_BY_SQLSTATE =
      Map.of(
          SqlState.READ_ONLY_SQL_TRANSACTION.code(), AttemptStatus.REPLICA_UNSUITABLE,
          SqlState.SNAPSHOT_TOO_OLD.code(), AttemptStatus.REPLICA_UNSUITABLE,
          SqlState.TOO_MANY_CONNECTIONS.code(), AttemptStatus.CAPACITY_EXCEEDED,
          SqlState.CANNOT_CONNECT_NOW.code(), AttemptStatus.CAPACITY_EXCEEDED);

  private static final Set<String> TOLD = Set.of("server_role", "commit_clock", "usage");

  private final ByteArrayOutputStream messages = new ByteArrayOutputStream();
  private final Map<String, String> told = new HashMap<>();
  private Part part = Part.DESCRIPTION;
  private String value; // the only column of the row
  private String errorCode;
  private boolean fatal;

  /**
   * The next message, or null where more bytes are needed; its type and length are judged before
   * its body came.
   */
  Message next(ByteBuffer in) throws ProtocolException {
    String types =
        switch (part) {
          case DESCRIPTION -> "TESN";
          case ROW -> "DESN";
          case COMPLETION -> "CESN";
          case READY -> "ZSN";
          case OVER -> "";
        };
    return Message.next(
        in,
        types,
        in.hasRemaining() && in.get(in.position()) == 'D' ? Message.MAX_ROW_BYTES : GREATEST_OTHER);
  }

  void take(Message m) throws ProtocolException {
    switch (m.type()) {
      case 'S' -> {
        String[] words = m.texts(2);
        if (TOLD.contains(words[0])) {
          told.put(words[0], words[1]);
        }
      }
      case 'N' -> m.errorFields();
      case 'T' -> {
        m.requireOneColumnDescribed();
        keep(m, Part.ROW);
      }
      case 'D' -> {
        value = m.onlyColumn();
        keep(m, Part.COMPLETION);
      }
      case 'C' -> {
        if (!m.texts(1)[0].matches("SHOW|[A-Z]+( [0-9]+)? 1")) {
          throw new ProtocolException(
              SqlState.PROTOCOL_VIOLATION, "not the tag of a command with one row");
        }
        keep(m, Part.READY);
      }
      case 'E' -> {
        Map<Character, String> fields = m.errorFields();
        errorCode = fields.getOrDefault('C', "");
        fatal = "FATAL".equals(fields.get('S'));
        if (!errorCode.matches("[0-9A-Z]{5}")) {
          throw new ProtocolException(SqlState.PROTOCOL_VIOLATION, "not an SQLSTATE");
        }
        part = Part.READY;
      }
      default -> {
        if (m.body().length != 1 || m.body()[0] != 'I') {
          throw new ProtocolException(
              SqlState.PROTOCOL_VIOLATION, "not the state of a session outside a transaction");
        }
        part = Part.OVER;
      }
    }
  }

  private void keep(Message m, Part next) {
    messages.writeBytes(m.bytes());
    part = next;
  }

  /** Some of it has come. */
  boolean begun() {
    return part != Part.DESCRIPTION || !told.isEmpty();
  }

  /** ReadyForQuery has come. */
  boolean over() {
    return part == Part.OVER;
  }

  /** All that tells how the query ended has come; the host may close here. */
  boolean whole() {
    return part == Part.READY || over();
  }

  /** The host ends the connection with this error, and no ReadyForQuery follows. */
  boolean fatal() {
    return fatal;
  }

  /** Bytes held for the client. */
  int size() {
    return messages.size();
  }

  /** What it says once it is whole; a report that can't be read spoils only the report. */
  BackendResponse reply(boolean probe) {
    AttemptStatus status =
        errorCode == null
            ? AttemptStatus.OK
            : STATUS_BY_SQLSTATE.getOrDefault(errorCode, AttemptStatus.ERROR);
    LoadReport report = LoadReportParser.read(probe ? value : told.get("usage"));
    return new BackendResponse(
        status,
        LoadReportParser.role(told.get("server_role")),
        LoadReportParser.position(told.get("commit_clock")),
        report,
        status == AttemptStatus.OK ? messages.toByteArray() : null);
  }
}

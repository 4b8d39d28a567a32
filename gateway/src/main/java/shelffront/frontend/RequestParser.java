package shelffront.frontend;

import java.util.Arrays;
import java.util.List;
import shelffront.pg.Message;
import shelffront.pg.ProtocolException;
import shelffront.pg.SqlState;
import shelffront.pg.Statement;
import shelffront.request.ClientRequest;
import shelffront.routing.Consistency;
import shelffront.routing.Idempotency;
import shelffront.routing.RequestClass;
import shelffront.routing.Router;

/** Parses Query messages into requests. A leading SQL comment holds the request's parameters. */
final class RequestParser {

  private static final long MICROS_PER_MILLI = 1000;

  /**
   * A request and the parameters of its comment that are not part of the request itself.
   *
   * @param session key of the client's session; null if the request class needs none
   * @param requiredPositionMicros position of the session's last write, or {@link Router#UNKNOWN}
   * @param repeat whether the client has sent it before
   */
  record ParsedRequest(
      ClientRequest request,
      String session,
      int replicaSet,
      long requiredPositionMicros,
      boolean repeat) {

    void startWith(RequestHandler handler) {
      handler.handle(request, session, replicaSet, requiredPositionMicros, repeat);
    }
  }

  private RequestParser() {}

  /** Returns the statement of a Query message without the terminating zero byte. */
  static byte[] statementOf(Message query) throws ProtocolException {
    byte[] body = query.body();
    if (body.length == 0 || body[body.length - 1] != 0) {
      throw new ProtocolException(SqlState.PROTOCOL_VIOLATION, "the statement is not terminated");
    }
    return Arrays.copyOf(body, body.length - 1);
  }

  static boolean isBlank(byte[] statement) {
    for (byte character : statement) {
      if (" ;\n\r\t".indexOf(character) < 0) {
        return false;
      }
    }
    return true;
  }

  /**
   * Parses all parameters of the comment, so that an invalid one is reported before the start.
   *
   * @param latestDeadlineMicros limit of the request's deadline
   */
  static ParsedRequest parse(
      byte[] bytes,
      long arrivalMicros,
      long latestDeadlineMicros,
      List<RequestClass> classes,
      ClientRequest.ResponseListener listener)
      throws ProtocolException {
    Statement statement = Statement.parse(bytes);
    int classIndex = classIndex(classes, statement.value("c"));
    RequestClass requestClass = classes.get(classIndex);
    if (requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY && statement.value("k") == null) {
      throw new ProtocolException(SqlState.SYNTAX_ERROR, "the class needs a key k");
    }
    long deadlineMicros =
        Math.min(arrivalMicros + statement.number("d", 0) * MICROS_PER_MILLI, latestDeadlineMicros);
    int replicaSet = statement.number("cluster", 0);
    String session = needsSession(requestClass.consistency()) ? statement.key() : null;
    long requiredPositionMicros = statement.positionMicros("after", Router.UNKNOWN);
    ClientRequest request =
        new ClientRequest(statement.value("id"), statement, classIndex, deadlineMicros, listener);
    return new ParsedRequest(
        request, session, replicaSet, requiredPositionMicros, "1".equals(statement.value("r")));
  }

  private static boolean needsSession(Consistency consistency) {
    return consistency == Consistency.WRITE || consistency == Consistency.SESSION;
  }

  private static int classIndex(List<RequestClass> classes, String name) throws ProtocolException {
    for (int i = 0; i < classes.size(); i++) {
      if (classes.get(i).name().equals(name)) {
        return i;
      }
    }
    throw new ProtocolException(SqlState.SYNTAX_ERROR, "the class is not known");
  }
}

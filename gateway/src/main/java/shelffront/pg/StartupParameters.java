package shelffront.pg;

/**
 * The parameters of a startup message that identify a client. All others are skipped, because a
 * client may send very many, and a connection keeps its parameters until it closes.
 *
 * @param database the database or, as in PostgreSQL, the user if no database is given
 */
public record StartupParameters(String user, String database) {

  /** The parameters before the startup message has been received. */
  public static final StartupParameters NONE = new StartupParameters("", "");

  /** Limit of each name; PostgreSQL itself keeps 63 bytes. */
  static final int MAX_NAME_BYTES = 256;

  /**
   * Reads the parameters of a startup message. The first value of a repeated name counts; an
   * unterminated text ends with the body.
   */
  public static StartupParameters read(Message startup) throws ProtocolException {
    byte[] body = startup.body();
    String user = null;
    String database = null;
    for (int offset = Integer.BYTES; offset < body.length && body[offset] != 0; ) {
      int valueOffset = startup.endOfString(offset) + 1;
      int valueEnd = startup.endOfString(valueOffset);
      if (user == null && isName(startup, offset, valueOffset, "user")) {
        user = value(startup, "user", valueOffset, valueEnd);
      } else if (database == null && isName(startup, offset, valueOffset, "database")) {
        database = value(startup, "database", valueOffset, valueEnd);
      }
      offset = valueEnd + 1;
    }
    String userOrNone = user == null ? "" : user;
    return new StartupParameters(userOrNone, database == null ? userOrNone : database);
  }

  private static boolean isName(Message startup, int offset, int valueOffset, String name) {
    return valueOffset - offset - 1 == name.length() && startup.stringAt(offset).equals(name);
  }

  private static String value(Message startup, String name, int offset, int end)
      throws ProtocolException {
    if (end - offset > MAX_NAME_BYTES) {
      throw new ProtocolException(
          SqlState.PROTOCOL_VIOLATION,
          name + " has " + (end - offset) + " bytes, at most " + MAX_NAME_BYTES + " are read");
    }
    return startup.stringAt(offset);
  }
}

package shelffront.pg;

/** A protocol violation or a rejected request, with the SQLSTATE and text of its ErrorResponse. */
public final class ProtocolException extends Exception {

  private static final long serialVersionUID = 1L;

  private final SqlState sqlState;

  /** Creates an exception whose message is sent to a client as the text of an ErrorResponse. */
  public ProtocolException(SqlState sqlState, String message) {
    super(message);
    this.sqlState = sqlState;
  }

  public SqlState sqlState() {
    return sqlState;
  }
}

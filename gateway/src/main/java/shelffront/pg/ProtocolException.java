package shelffront.pg;

/** Bytes that violate the protocol, or a refusal, with what the peer is told of it. */
public final class ProtocolException extends Exception {

  private static final long serialVersionUID = 1L;

  private final SqlState sqlState;

  /** The message is sent to the peer. */
  public ProtocolException(SqlState sqlState, String message) {
    super(message);
    this.sqlState = sqlState;
  }

  public SqlState sqlState() {
    return sqlState;
  }
}

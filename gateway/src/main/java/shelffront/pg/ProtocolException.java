package shelffront.pg;

/** Bytes that are not what the protocol says; the message is for the peer, the code an SQLSTATE. */
public final class ProtocolException extends Exception {

  private static final long serialVersionUID = 1L;

  private final String code;

  public ProtocolException(String code, String message) {
    super(message);
    this.code = code;
  }

  public String code() {
    return code;
  }
}

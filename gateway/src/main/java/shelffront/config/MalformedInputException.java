package shelffront.config;

/** Input that is not in the form of the wire; the message is one plain line. */
public final class MalformedInputException extends Exception {

  private static final long serialVersionUID = 1L;

  public MalformedInputException(String message) {
    super(message);
  }
}

package shelffront.config;

/** Input that does not have the expected format. The message is a single line. */
public final class MalformedInputException extends Exception {

  private static final long serialVersionUID = 1L;

  public MalformedInputException(String message) {
    super(message);
  }
}

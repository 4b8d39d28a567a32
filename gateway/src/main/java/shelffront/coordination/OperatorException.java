package shelffront.coordination;

/**
 * An error in the shared infrastructure of a fleet that an operator should see. Each kind has a
 * stable code; the message describes what happened, and the advice what an operator can do about
 * it.
 */
public abstract class OperatorException extends Exception {

  private static final long serialVersionUID = 1L;

  private final String code;
  private final String advice;

  protected OperatorException(String code, String message, String advice, Throwable cause) {
    super(message, cause);
    this.code = code;
    this.advice = advice;
  }

  /** The code of this kind of error; stable, for programs and documentation. */
  public final String code() {
    return code;
  }

  /** What an operator can do about it. */
  public final String advice() {
    return advice;
  }
}

package shelffront.coordination;

/**
 * Something that goes wrong in what gateways share. Each kind has a code that never changes; the
 * message says what happened, and the advice what an operator can do about it.
 */
public abstract class OperatorException extends Exception {

  private static final long serialVersionUID = 1L;

  private final String code;
  private final String advice;

  protected OperatorException(String code, String what, String advice, Throwable cause) {
    super(what, cause);
    this.code = code;
    this.advice = advice;
  }

  /** Stable, for programs and pages. */
  public final String code() {
    return code;
  }

  /** What an operator can do about it. */
  public final String advice() {
    return advice;
  }
}

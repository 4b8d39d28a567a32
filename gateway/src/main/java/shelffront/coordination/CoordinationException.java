package shelffront.coordination;

/**
 * An operation on the coordination store failed. Whether a write was applied is unknown, except for
 * {@link EngineContended}. The codes are listed in {@code docs/operators/fleet-changes.md}.
 */
public abstract sealed class CoordinationException extends OperatorException {

  private static final long serialVersionUID = 1L;

  private CoordinationException(String code, String message, String advice, Throwable cause) {
    super(code, message, advice, cause);
  }

  /** The store did not respond in time, or the connection to it failed. */
  public static final class EngineUnreachable extends CoordinationException {

    private static final long serialVersionUID = 1L;

    /** Creates the error for the agent at an address {@code host:port}. */
    public EngineUnreachable(String address, Throwable cause) {
      super(
          "engine-unreachable",
          "the coordination store at " + address + " does not respond: " + cause.getMessage(),
          "Check the agent of the coordination store and the network path to it. Gateways fall back"
              + " to the safe stage when their leases expire, and recover without intervention.",
          cause);
    }
  }

  /**
   * The store responded with an error status, for example because it has no leader or is
   * overloaded.
   */
  public static final class EngineRefused extends CoordinationException {

    private static final long serialVersionUID = 1L;

    private final int status;

    /** Creates the error for an HTTP status of the agent at an address {@code host:port}. */
    public EngineRefused(String address, int status) {
      super(
          "engine-refused",
          "the coordination store at " + address + " responded with HTTP status " + status,
          "Check the servers of the coordination store; without a leader they accept no writes."
              + " Nothing is lost; rollouts wait until the store accepts writes again.",
          null);
      this.status = status;
    }

    /** The HTTP status. */
    public int status() {
      return status;
    }
  }

  /** A response of the store, or the value of a key, is malformed. */
  public static final class EngineGarbled extends CoordinationException {

    private static final long serialVersionUID = 1L;

    /** Creates the error; the message names the key or the address and what is malformed. */
    public EngineGarbled(String message, Throwable cause) {
      super(
          "engine-garbled",
          message,
          "Check for other writers under the key prefix of this fleet, and that all gateways run"
              + " a build that knows this format. Restore the previous value of the key; never"
              + " delete the key while gateways run.",
          cause);
    }
  }

  /**
   * Every check-and-set attempt failed because the key was changed concurrently between the read
   * and the write.
   */
  public static final class EngineContended extends CoordinationException {

    private static final long serialVersionUID = 1L;

    /** Creates the error for the name of the record or key, and the number of attempts. */
    public EngineContended(String target, int attempts) {
      super(
          "engine-contended",
          "the write of " + target + " lost to concurrent writes in all " + attempts + " attempts",
          "Nothing was changed; retry the request. If this persists, find the process that writes"
              + " continuously.",
          null);
    }
  }
}

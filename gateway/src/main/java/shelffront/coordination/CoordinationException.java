package shelffront.coordination;

/**
 * The coordination store gave no answer that says anything; what became of a write is not known,
 * but for {@link EngineContended}. The codes are listed in {@code docs/operators/fleet-changes.md}.
 */
public abstract sealed class CoordinationException extends OperatorException {

  private static final long serialVersionUID = 1L;

  private CoordinationException(String code, String what, String advice, Throwable cause) {
    super(code, what, advice, cause);
  }

  /** No answer came in time, or no connection. */
  public static final class EngineUnreachable extends CoordinationException {

    private static final long serialVersionUID = 1L;

    /** The address is that of the agent. */
    public EngineUnreachable(String address, Throwable cause) {
      super(
          "engine-unreachable",
          "the engine at " + address + " does not answer: " + cause.getMessage(),
          "Look at the engine's agent and the way to it. Gateways fall back to the safe stage when"
              + " their leases lapse and come back by themselves.",
          cause);
    }
  }

  /** It answered that it can't: it has no leader, or is overloaded. */
  public static final class EngineRefused extends CoordinationException {

    private static final long serialVersionUID = 1L;

    private final int status;

    /** The status is that of HTTP. */
    public EngineRefused(String address, int status) {
      super(
          "engine-refused",
          "the engine at " + address + " answered " + status,
          "Look at the engine's servers: without a leader it takes no write. Nothing is lost; moves"
              + " wait.",
          null);
      this.status = status;
    }

    /** The HTTP status. */
    public int status() {
      return status;
    }
  }

  /** Its answer, or what a key holds, can't be read. */
  public static final class EngineGarbled extends CoordinationException {

    private static final long serialVersionUID = 1L;

    /** What can't be read, with the key or the address. */
    public EngineGarbled(String what, Throwable cause) {
      super(
          "engine-garbled",
          what,
          "See who else writes under this fleet's prefix, and whether all gateways are of a build"
              + " that knows the form. Put back what the key held; never take it away while"
              + " gateways run.",
          cause);
    }
  }

  /** Others changed the same key each time between a look and the write. */
  public static final class EngineContended extends CoordinationException {

    private static final long serialVersionUID = 1L;

    /** What was to be written, and how often it was tried. */
    public EngineContended(String what, int attempts) {
      super(
          "engine-contended",
          "the write of " + what + " lost to others " + attempts + " times",
          "Nothing was changed; ask again. If it stays so, see who writes without pause.",
          null);
    }
  }
}

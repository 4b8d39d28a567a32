package shelffront.frontend;

/**
 * Tracks what a client has sent and when, to decide whether its connection may be closed while no
 * response is outstanding on it. All times are Unix microseconds.
 */
final class ClientActivity {

  /** A client that sends no complete command must be disconnected within 3 s. */
  private static final long FIRST_COMMAND_TIMEOUT_MICROS = 2_500_000;

  private static final long INCOMPLETE_COMMAND_TIMEOUT_MICROS = 2_000_000;
  private static final long IDLE_TIMEOUT_MICROS = 10_000_000;

  /** Clients send startup and first command without delay, and the parts of a command likewise. */
  private static final long SILENCE_MICROS = 100_000;

  /** Replaces {@link #SILENCE_MICROS} while other clients wait for a connection slot. */
  static final long BRIEF_SILENCE_MICROS = 5_000;

  private final long openedAtMicros;
  private long lastInputMicros;
  private boolean commandReceived;
  private boolean commandIncomplete;

  ClientActivity(long openedAtMicros) {
    this.openedAtMicros = openedAtMicros;
    lastInputMicros = openedAtMicros;
  }

  void recordInput(long nowMicros) {
    lastInputMicros = nowMicros;
  }

  void recordCommand() {
    commandReceived = true;
  }

  /** Records whether the input ends in a partial command; returns true if it has just begun. */
  boolean recordIncompleteCommand(boolean incomplete) {
    boolean begun = incomplete && !commandIncomplete;
    commandIncomplete = incomplete;
    return begun;
  }

  /** Latest time by which the first complete command must have been received. */
  long firstCommandDeadlineMicros() {
    return openedAtMicros + FIRST_COMMAND_TIMEOUT_MICROS;
  }

  /** Latest time for the next complete command on a connection that becomes idle now. */
  long nextCommandDeadlineMicros(long nowMicros) {
    return nowMicros
        + (commandIncomplete ? INCOMPLETE_COMMAND_TIMEOUT_MICROS : IDLE_TIMEOUT_MICROS);
  }

  boolean hasSentCommand() {
    return commandReceived;
  }

  /** Whether the client has sent no complete command within 100 ms of connecting. */
  boolean isSilent(long nowMicros) {
    return !commandReceived && nowMicros > openedAtMicros + SILENCE_MICROS;
  }

  /** Whether no further input is expected soon: no command is partial, or its rest is overdue. */
  boolean isQuiet(long nowMicros) {
    return isQuiet(nowMicros, SILENCE_MICROS);
  }

  /**
   * Like {@link #isQuiet(long)}, with a shorter wait for clients that have sent no command, for use
   * while other clients wait for a connection slot.
   */
  boolean isBrieflyQuiet(long nowMicros) {
    return isQuiet(nowMicros, commandReceived ? SILENCE_MICROS : BRIEF_SILENCE_MICROS);
  }

  private boolean isQuiet(long nowMicros, long silenceMicros) {
    return commandReceived && !commandIncomplete || nowMicros > lastInputMicros + silenceMicros;
  }
}

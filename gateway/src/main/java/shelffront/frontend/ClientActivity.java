package shelffront.frontend;

/**
 * What a client has sent so far and when: decides whether its connection may be ended while nothing
 * is owed on it. All times in Unix microseconds.
 */
final class ClientActivity {

  /** To the first whole command: a client that sends none is owed its end within 3 s. */
  private static final long FIRST_COMMAND_TIMEOUT_MICROS = 2_500_000;

  private static final long INCOMPLETE_COMMAND_TIMEOUT_MICROS = 2_000_000;
  private static final long IDLE_TIMEOUT_MICROS = 10_000_000;

  /** Clients send their startup and first command at once, and a command in quick succession. */
  private static final long SILENCE_MICROS = 100_000;

  /** As {@link #SILENCE_MICROS}, while others wait for the place. */
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

  /** Records whether part of a command has come; returns whether that part has just begun. */
  boolean recordIncompleteCommand(boolean incomplete) {
    boolean begun = incomplete && !commandIncomplete;
    commandIncomplete = incomplete;
    return begun;
  }

  /** By when the first whole command must have come. */
  long firstCommandDeadlineMicros() {
    return openedAtMicros + FIRST_COMMAND_TIMEOUT_MICROS;
  }

  /** By when the next command must be whole, for a connection that falls idle now. */
  long nextCommandDeadlineMicros(long nowMicros) {
    return nowMicros
        + (commandIncomplete ? INCOMPLETE_COMMAND_TIMEOUT_MICROS : IDLE_TIMEOUT_MICROS);
  }

  /** A whole command has come. */
  boolean hasSentCommand() {
    return commandReceived;
  }

  /** Whether it has sent no whole command in the time in which clients do. */
  boolean isSilent(long nowMicros) {
    return !commandReceived && nowMicros > openedAtMicros + SILENCE_MICROS;
  }

  /** Whether what it has begun to send has had its time to come. */
  boolean isQuiet(long nowMicros) {
    return isQuiet(nowMicros, SILENCE_MICROS);
  }

  /** As {@link #isQuiet(long)}, where others need its place at once. */
  boolean isBrieflyQuiet(long nowMicros) {
    return isQuiet(nowMicros, commandReceived ? SILENCE_MICROS : BRIEF_SILENCE_MICROS);
  }

  private boolean isQuiet(long nowMicros, long silenceMicros) {
    return commandReceived && !commandIncomplete || nowMicros > lastInputMicros + silenceMicros;
  }
}

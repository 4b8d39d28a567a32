package shelffront.frontend;

import java.util.ArrayDeque;
import shelffront.net.CloseReason;
import shelffront.pg.Message;
import shelffront.pg.ProtocolException;

/**
 * Commands of a client that were read and wait for the active one to finish. Bounded: parsing stops
 * once {@link #isFull}. Confined to the loop thread of the connection.
 */
final class CommandQueue {

  private static final int MAX_COMMANDS = 8;
  private static final int MAX_BYTES = 64 * 1024;

  /**
   * A command and the time when its last byte was read. The deadline of the request counts from
   * that time, however long the command is queued. Input that cannot be parsed is queued as well,
   * with a failure instead of a message, so that the commands before it get their responses first.
   */
  record Command(
      Message message, long arrivalMicros, ProtocolException failure, CloseReason closeReason) {

    boolean isFailure() {
      return failure != null;
    }

    private int bytes() {
      return message == null ? 0 : message.body().length;
    }
  }

  private final ArrayDeque<Command> commands = new ArrayDeque<>();
  private int bytes;

  void add(Message message, long arrivalMicros) {
    bytes += message.body().length;
    commands.add(new Command(message, arrivalMicros, null, null));
  }

  /**
   * Queues a fatal failure: it is sent to the client, and the connection closes with the reason.
   */
  void addFailure(ProtocolException failure, CloseReason reason, long nowMicros) {
    commands.add(new Command(null, nowMicros, failure, reason));
  }

  /** Removes and returns the first command; null if the queue is empty. */
  Command poll() {
    Command command = commands.poll();
    bytes -= command == null ? 0 : command.bytes();
    return command;
  }

  boolean isEmpty() {
    return commands.isEmpty();
  }

  boolean isFull() {
    return commands.size() >= MAX_COMMANDS || bytes >= MAX_BYTES;
  }

  /** Total body size of the queued messages, in bytes. */
  int bytes() {
    return bytes;
  }
}

package shelffront.frontend;

import java.util.ArrayDeque;
import shelffront.net.CloseReason;
import shelffront.pg.Message;
import shelffront.pg.ProtocolException;

/**
 * A client's commands that were read and wait behind the one in work. Bounded: no more is read once
 * {@link #isFull}. Owned by the loop thread of the connection.
 */
final class CommandQueue {

  private static final int MAX_COMMANDS = 8;
  private static final int MAX_BYTES = 64 * 1024;

  /**
   * A command and when its last byte was read: its time counts from there, however long it waits.
   * Input that can't be parsed stands in the queue too, with its failure in place of the message,
   * so that the commands before it are answered first.
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

  /** Adds the end of the connection: it is told of the failure and closed for the reason. */
  void addFailure(ProtocolException failure, CloseReason reason, long nowMicros) {
    commands.add(new Command(null, nowMicros, failure, reason));
  }

  /** Removes the first command; null where there is none. */
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

  /** Bytes of the messages that wait. */
  int bytes() {
    return bytes;
  }
}

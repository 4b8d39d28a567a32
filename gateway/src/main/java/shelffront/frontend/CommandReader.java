package shelffront.frontend;

import java.nio.ByteBuffer;
import shelffront.frontend.CommandQueue.Command;
import shelffront.net.CloseReason;
import shelffront.pg.Message;
import shelffront.pg.ProtocolException;
import shelffront.pg.SqlState;

/**
 * The input side of a {@link ClientConnection}: reads commands into a queue of bounded size and
 * reserves memory for them and for the response.
 *
 * <p>Invariant: queued and active commands, and a response until it is written, are charged to the
 * memory budget. Runs on the loop thread of the connection.
 */
final class CommandReader {

  /** Message types that a client may send after startup. */
  private static final String COMMAND_TYPES = "QXSPBDECHFdcf";

  private final ClientConnection connection;
  private final CommandQueue queue = new CommandQueue();

  /** The error that stopped the parsing of input; null while input is parsed. */
  private String failure;

  /** Bytes of queued commands and of the unwritten response, charged to the memory budget. */
  private int reservedBytes;

  CommandReader(ClientConnection connection) {
    this.connection = connection;
  }

  /** Whether another command may be read. */
  boolean wantsInput() {
    return failure == null && !queue.isFull();
  }

  /** Whether input cannot be parsed any more; it is discarded. */
  boolean hasFailed() {
    return failure != null;
  }

  /** The error that stopped the parsing of input; null while input is parsed. */
  String failure() {
    return failure;
  }

  /**
   * Reads complete commands into the queue while it has room.
   *
   * @return whether at least one command was read
   */
  boolean read(ByteBuffer bytes) throws ProtocolException {
    boolean commandRead = false;
    while (wantsInput()) {
      Message message = Message.readNext(bytes, COMMAND_TYPES, Message.MAX_BYTES);
      if (message == null) {
        return commandRead;
      }
      // Protects the heap: queued commands count against the budget like active ones.
      if (!tryReserve(message.body().length)) {
        throw new ProtocolException(SqlState.OUT_OF_MEMORY, "there is no room for the command");
      }
      queue.add(message, connection.arrivalMicros(bytes));
      commandRead = true;
    }
    return commandRead;
  }

  /** Stops the parsing of input; the error is sent after the responses to earlier commands. */
  void fail(ProtocolException why, CloseReason reason, long nowMicros) {
    failure = why.getMessage();
    queue.addFailure(why, reason, nowMicros);
  }

  boolean isEmpty() {
    return queue.isEmpty();
  }

  /** Removes and returns the first queued command; null if there is none. */
  Command poll() {
    return queue.poll();
  }

  /** Charges bytes of a command or a response; false if the budget has no room for them. */
  boolean tryReserve(int bytes) {
    boolean acquired = connection.budget().tryAcquire(bytes);
    reservedBytes += acquired ? bytes : 0;
    return acquired;
  }

  /** Releases the memory of the active command and its response; queued commands keep theirs. */
  void releaseProcessed() {
    connection.budget().release(reservedBytes - queue.bytes());
    reservedBytes = queue.bytes();
  }

  /** Releases all memory, when the connection closes. */
  void releaseAll() {
    connection.budget().release(reservedBytes);
    reservedBytes = 0;
  }
}

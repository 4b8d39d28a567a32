package shelffront.frontend;

import java.nio.ByteBuffer;
import java.util.function.LongPredicate;
import shelffront.net.CloseReason;
import shelffront.net.MemoryReservation;
import shelffront.net.ResourceBudget;
import shelffront.pg.Message;
import shelffront.pg.ProtocolException;
import shelffront.pg.SqlState;

/**
 * The input side of a {@link ClientConnection}: reads commands into a queue of bounded size and
 * reserves memory for them and for the response. A command for which there is no memory is skipped
 * and rejected in its turn; a usual one needs none but the allowance of its connection.
 *
 * <p>Invariant: queued and active commands, and a response until it is written, are part of the
 * reservation. Runs on the loop thread of the connection.
 */
final class CommandReader {

  /** Message types that a client may send after startup. */
  private static final String COMMAND_TYPES = "QXSPBDECHFdcf";

  private static final int MESSAGE_TYPE_BYTES = 1;

  /** A command is held as the statement of its request and, while it is sent, as output. */
  private static final int COPIES_OF_COMMAND = 2;

  private final ClientConnection connection;
  private final CommandQueue queue = new CommandQueue();
  private final MemoryReservation reservation = new MemoryReservation();

  /** The error that stopped the parsing of input; null without one. */
  private String failure;

  /** Whether further input is discarded, after an error or the client's last message. */
  private boolean inputEnded;

  /** Whether the command whose first bytes are in the input has no memory. */
  private boolean rejectsIncomplete;

  /** Whether commands behind the queued ones are rejected, since there were too many. */
  private boolean rejecting;

  /** Bytes that are left of a command that is being skipped. */
  private int bytesToSkip;

  CommandReader(ClientConnection connection) {
    this.connection = connection;
  }

  /** Whether another command may be read. */
  boolean wantsInput() {
    return !inputEnded && !rejecting && !queue.isFull();
  }

  /** Whether further input is discarded, after an error or the client's last message. */
  boolean hasInputEnded() {
    return inputEnded;
  }

  /** The error that stopped the parsing of input; null without one. */
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
    while (wantsInput() && readNext(bytes)) {
      commandRead = true;
    }
    return commandRead;
  }

  /** Reads or skips one command; false if it is incomplete. */
  private boolean readNext(ByteBuffer bytes) throws ProtocolException {
    if (bytesToSkip > 0) {
      return rejectOnceSkipped(bytes);
    }
    Message message = Message.readNext(bytes, COMMAND_TYPES, Message.MAX_BYTES);
    if (message == null) {
      return rejectsIncomplete && startSkipping(bytes);
    }
    rejectsIncomplete = false;
    if (tryReserve(message.body().length * COPIES_OF_COMMAND, budget()::tryAcquireForNewRequest)) {
      queue.add(message, connection.arrivalMicros(bytes));
    } else {
      queue.addRejections(1);
    }
    return true;
  }

  private boolean startSkipping(ByteBuffer bytes) throws ProtocolException {
    rejectsIncomplete = false;
    if (bytes.get(bytes.position()) != 'Q') {
      throw new ProtocolException(SqlState.OUT_OF_MEMORY, "there is no room for the message");
    }
    bytesToSkip = MESSAGE_TYPE_BYTES + bytes.getInt(bytes.position() + MESSAGE_TYPE_BYTES);
    return rejectOnceSkipped(bytes);
  }

  private boolean rejectOnceSkipped(ByteBuffer bytes) {
    boolean whole = skip(bytes);
    queue.addRejections(whole ? 1 : 0);
    return whole;
  }

  /** Skips bytes of a command; true if it was skipped whole. */
  private boolean skip(ByteBuffer bytes) {
    int skipped = Math.min(bytesToSkip, bytes.remaining());
    bytes.position(bytes.position() + skipped);
    bytesToSkip -= skipped;
    return bytesToSkip == 0;
  }

  /**
   * Rejects all commands in the input, of which the last may be incomplete, without regard to the
   * room in the queue: only their number is kept. Nothing but queries can be rejected; a client
   * that sends so much else is disconnected.
   */
  void rejectAll(ByteBuffer bytes) {
    rejecting = true;
    ProtocolException why = null;
    long rejected = 0;
    try {
      while ((bytesToSkip > 0 || isQueryNext(bytes)) && skip(bytes)) {
        rejected++;
      }
    } catch (ProtocolException e) {
      why = e;
    }
    queue.addRejections(rejected);
    if (why != null) {
      fail(why, ClientErrors.closeReasonOf(why.sqlState()));
    } else if (inputEnded) {
      queue.add(new Message('X', new byte[0]), connection.arrivalMicros(bytes));
    }
  }

  /** Whether the input continues with a query, which is then to be skipped. */
  private boolean isQueryNext(ByteBuffer bytes) throws ProtocolException {
    int size = Message.nextSize(bytes, COMMAND_TYPES, Message.MAX_BYTES);
    if (size < 0) {
      return false;
    }
    switch (bytes.get(bytes.position())) {
      case 'Q' -> bytesToSkip = size;
      case 'X' -> inputEnded = true;
      default ->
          throw new ProtocolException(
              SqlState.PROGRAM_LIMIT_EXCEEDED, "too many messages wait for their turn");
    }
    return bytesToSkip > 0;
  }

  /** Whether commands behind the queued ones are rejected, since there were too many. */
  boolean isRejecting() {
    return rejecting && !inputEnded;
  }

  /** Reads commands again, now that all that had been sent is read. */
  void stopRejecting() {
    rejecting = false;
  }

  /** Whether the input ends within a command, of which the first part may have been skipped. */
  boolean isWithinCommand(ByteBuffer bytes) {
    return bytes.hasRemaining() || bytesToSkip > 0;
  }

  /** Rejects the command of which the input has no more than the first part. */
  void rejectIncomplete() {
    rejectsIncomplete = true;
  }

  /** Stops the parsing of input; the error is sent after the responses to earlier commands. */
  void fail(ProtocolException why, CloseReason reason) {
    failure = why.getMessage();
    inputEnded = true;
    queue.addFailure(why, reason);
  }

  boolean isEmpty() {
    return queue.isEmpty();
  }

  /** Removes and returns what is to be processed next; null if there is nothing. */
  CommandQueue.Entry poll() {
    return queue.poll();
  }

  /** Reserves memory for a response; false if the budget has no room for it. */
  boolean tryReserveResponse(int bytes) {
    return tryReserve(bytes, budget()::tryAcquire);
  }

  private boolean tryReserve(int bytes, LongPredicate acquireFromBudget) {
    return reservation.tryAdd(bytes, acquireFromBudget);
  }

  /** Releases the memory of the active command and its response; queued commands keep theirs. */
  void releaseProcessed() {
    reservation.reduceTo(queue.bytes() * COPIES_OF_COMMAND, budget());
  }

  /** Releases all memory, when the connection closes. */
  void releaseAll() {
    reservation.reduceTo(0, budget());
  }

  private ResourceBudget budget() {
    return connection.network().budget();
  }
}

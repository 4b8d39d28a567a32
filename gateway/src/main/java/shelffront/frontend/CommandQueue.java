package shelffront.frontend;

import java.util.ArrayDeque;
import shelffront.net.CloseReason;
import shelffront.pg.Message;
import shelffront.pg.ProtocolException;

/**
 * What a client has sent and the connection has not processed yet, in order. Bounded: parsing stops
 * once {@link #isFull}, and rejected commands leave only their number. Confined to the loop thread
 * of the connection.
 */
final class CommandQueue {

  private static final int MAX_ENTRIES = 8;
  private static final int MAX_BYTES = 64 * 1024;

  /** Rejections that are answered in one write. */
  private static final long MAX_REJECTIONS_POLLED = 64;

  /** Something to process when all earlier commands have their responses. */
  sealed interface Entry permits Command, Rejections, Failure {}

  /**
   * A command and the time when its last byte was read. The deadline of the request counts from
   * that time, however long the command is queued.
   */
  record Command(Message message, long arrivalMicros) implements Entry {}

  /** Consecutive commands that are rejected because there was no memory for them. */
  record Rejections(long count) implements Entry {}

  /** Input that cannot be parsed: the error is sent and the connection closes. */
  record Failure(ProtocolException why, CloseReason reason) implements Entry {}

  private final ArrayDeque<Entry> entries = new ArrayDeque<>();
  private int bytes;

  void add(Message message, long arrivalMicros) {
    bytes += message.body().length;
    entries.add(new Command(message, arrivalMicros));
  }

  void addRejections(long count) {
    long before = entries.peekLast() instanceof Rejections last ? last.count() : 0;
    if (before > 0) {
      entries.removeLast();
    }
    if (before + count > 0) {
      entries.add(new Rejections(before + count));
    }
  }

  /** Queues a fatal failure, behind which nothing is added. */
  void addFailure(ProtocolException why, CloseReason reason) {
    entries.add(new Failure(why, reason));
  }

  /** Removes and returns the first entry, or a part of it; null if the queue is empty. */
  Entry poll() {
    Entry entry = entries.poll();
    if (entry instanceof Command command) {
      bytes -= command.message().body().length;
    } else if (entry instanceof Rejections all && all.count() > MAX_REJECTIONS_POLLED) {
      entries.addFirst(new Rejections(all.count() - MAX_REJECTIONS_POLLED));
      return new Rejections(MAX_REJECTIONS_POLLED);
    }
    return entry;
  }

  boolean isEmpty() {
    return entries.isEmpty();
  }

  boolean isFull() {
    return entries.size() >= MAX_ENTRIES || bytes >= MAX_BYTES;
  }

  /** Total body size of the queued commands, in bytes. */
  int bytes() {
    return bytes;
  }
}

package shelffront.net;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * An event log that writes on its own thread, from a bounded queue, so that a stalled reader of the
 * output delays only the log. Lines that do not fit into the queue are dropped and counted; the
 * count is logged with the next lines that are written. Any thread may log.
 */
public final class AsyncEventLog implements EventLog {

  private static final int MAX_QUEUED_LINES = 4096;

  /** A batch of this length is written even if more lines are queued. */
  private static final int MAX_WRITE_CHARS = 8192;

  /** Wakes the writer thread when the log is closed. Recognized by identity and not written. */
  private static final String END = new String("end");

  private final ArrayBlockingQueue<String> queuedLines = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
  private final AtomicLong unreportedDrops = new AtomicLong();
  private final PrintStream out;
  private final Thread writer = new Thread(this::writeQueuedLines, "log");
  private volatile boolean closed;

  /** Starts the writer thread, a daemon. */
  public AsyncEventLog(PrintStream out) {
    this.out = out;
    writer.setDaemon(true);
    writer.start();
  }

  @Override
  public void println(Object line) {
    if (!queuedLines.offer(line.toString())) {
      unreportedDrops.incrementAndGet();
    }
  }

  /** The number of dropped lines that has not been logged yet. */
  public long unreportedDropCount() {
    return unreportedDrops.get();
  }

  private void writeQueuedLines() {
    try {
      while (!closed || !queuedLines.isEmpty()) {
        write(nextBatch(queuedLines.take()));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns the line and those that are queued behind it, up to the limit of a batch. */
  private String nextBatch(String first) {
    StringBuilder batch = new StringBuilder();
    for (String line = first; line != null; line = nextWithinBatch(batch)) {
      if (line != END) {
        batch.append(line).append('\n');
      }
    }
    long droppedCount = unreportedDrops.getAndSet(0);
    if (droppedCount > 0) {
      batch.append("log dropped ").append(droppedCount).append(" lines\n");
    }
    return batch.toString();
  }

  private String nextWithinBatch(StringBuilder batch) {
    return batch.length() < MAX_WRITE_CHARS ? queuedLines.poll() : null;
  }

  private void write(String batch) {
    byte[] bytes = batch.getBytes(UTF_8);
    out.write(bytes, 0, bytes.length);
    out.flush();
  }

  /**
   * Ends the writer thread after it has written the queued lines. Returns when the timeout expires,
   * even if a stalled reader has left lines unwritten.
   */
  public void close(long timeoutMillis) throws InterruptedException {
    closed = true;
    queuedLines.offer(END); // a writer that waits has an empty queue, which has room
    writer.join(timeoutMillis);
  }
}

package shelffront.net;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes lines on a thread of its own, from a bounded queue: a reader that stalls delays the log
 * and nothing else. What finds the queue full is dropped and counted; the count is written as a
 * line once there is room again.
 */
public final class AsyncEventLog implements EventLog {

  private static final int MAX_QUEUED_LINES = 4096;

  /** After so much a write goes out though more lines wait. */
  private static final int MAX_WRITE_CHARS = 8192;

  private static final long POLL_INTERVAL_MILLIS = 20;

  private final ArrayBlockingQueue<String> lines = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
  private final AtomicLong dropped = new AtomicLong();
  private final PrintStream out;
  private final Thread writer = new Thread(this::write, "log");
  private volatile boolean closed;

  /** Starts the writing thread, a daemon. */
  public AsyncEventLog(PrintStream out) {
    this.out = out;
    writer.setDaemon(true);
    writer.start();
  }

  @Override
  public void println(Object line) {
    if (!lines.offer(line.toString())) {
      dropped.incrementAndGet();
    }
  }

  /** Lines dropped and not yet told of. */
  public long dropped() {
    return dropped.get();
  }

  private void write() {
    try {
      while (!closed || !lines.isEmpty()) {
        // Looks at times of its own instead of being woken for each line, which would cost the loop
        // thread.
        String line = lines.poll();
        if (line == null) {
          Thread.sleep(POLL_INTERVAL_MILLIS);
          continue;
        }
        StringBuilder text = new StringBuilder(line).append('\n');
        for (line = lines.poll();
            line != null && text.length() < MAX_WRITE_CHARS;
            line = lines.poll()) {
          text.append(line).append('\n');
        }
        if (line != null) {
          text.append(line).append('\n');
        }
        long lost = dropped.getAndSet(0);
        if (lost > 0) {
          text.append("log dropped ").append(lost).append(" lines\n");
        }
        byte[] bytes = text.toString().getBytes(UTF_8);
        out.write(bytes, 0, bytes.length);
        out.flush();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Writes what waits, for as long as the reader takes it but no longer than given. */
  public void close(long milliseconds) throws InterruptedException {
    closed = true;
    writer.join(milliseconds);
  }
}

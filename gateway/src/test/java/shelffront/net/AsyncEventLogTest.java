package shelffront.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class AsyncEventLogTest {

  /** An output that blocks all writes until {@code released} is counted down. */
  private static final class BlockingOutput extends OutputStream {

    private final CountDownLatch writeStarted = new CountDownLatch(1);
    private final CountDownLatch released = new CountDownLatch(1);
    private final ByteArrayOutputStream written = new ByteArrayOutputStream();

    @Override
    public void write(int singleByte) {
      write(new byte[] {(byte) singleByte}, 0, 1);
    }

    @Override
    public void write(byte[] bytes, int from, int length) {
      writeStarted.countDown();
      try {
        released.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      written.write(bytes, from, length);
    }
  }

  /**
   * Guards against log output on the loop thread, where a stalled reader of the log blocked the
   * whole gateway.
   */
  @Test
  void stalledOutputDoesNotBlockLoggingAndDroppedLinesAreCounted() throws Exception {
    BlockingOutput output = new BlockingOutput();
    AsyncEventLog log = new AsyncEventLog(new PrintStream(output));
    log.println("first");
    assertTrue(output.writeStarted.await(20, TimeUnit.SECONDS));
    for (int i = 0; i < 10_000; i++) {
      log.println("line " + i); // would never return if it waited for the output
    }
    long dropped = log.unreportedDropCount();
    assertEquals(10_000 - 4096, dropped);
    output.released.countDown();
    log.close(20_000);
    String text = output.written.toString(StandardCharsets.UTF_8);
    assertTrue(text.startsWith("first\nline 0\nline 1\n"), "lines are in order");
    assertTrue(
        text.contains("log dropped " + dropped + " lines"),
        "the number of dropped lines is logged");
    assertEquals(1 + 4096 + 1, text.lines().count());
  }
}

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

  /** An output that blocks all writes until {@code go} is released. */
  private static final class Stalled extends OutputStream {

    private final CountDownLatch taken = new CountDownLatch(1);
    private final CountDownLatch go = new CountDownLatch(1);
    private final ByteArrayOutputStream seen = new ByteArrayOutputStream();

    @Override
    public void write(int singleByte) {
      write(new byte[] {(byte) singleByte}, 0, 1);
    }

    @Override
    public void write(byte[] bytes, int from, int length) {
      taken.countDown();
      try {
        go.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      seen.write(bytes, from, length);
    }
  }

  /**
   * Guards against log output on the loop thread, where a stalled reader of the log blocked the
   * whole gateway.
   */
  @Test
  void stalledOutputDoesNotBlockLoggingAndDroppedLinesAreCounted() throws Exception {
    Stalled reader = new Stalled();
    AsyncEventLog log = new AsyncEventLog(new PrintStream(reader));
    log.println("first");
    assertTrue(reader.taken.await(20, TimeUnit.SECONDS));
    for (int i = 0; i < 10_000; i++) {
      log.println("line " + i); // would never return if it waited for the output
    }
    long dropped = log.dropped();
    assertEquals(10_000 - 4096, dropped);
    reader.go.countDown();
    log.close(20_000);
    String text = reader.seen.toString(StandardCharsets.UTF_8);
    assertTrue(text.startsWith("first\nline 0\nline 1\n"), "lines are in order");
    assertTrue(
        text.contains("log dropped " + dropped + " lines"),
        "the number of dropped lines is logged");
    assertEquals(1 + 4096 + 1, text.lines().count());
  }
}

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

  /** A reader that takes nothing until it is told to. */
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
   * Guards the loop thread: it was the one that wrote, and a reader that stalled stalled the
   * gateway.
   */
  @Test
  void aReaderThatStallsHoldsUpNobodyAndLostLinesAreCounted() throws Exception {
    Stalled reader = new Stalled();
    AsyncEventLog log = new AsyncEventLog(new PrintStream(reader));
    log.println("first");
    assertTrue(reader.taken.await(20, TimeUnit.SECONDS));
    for (int i = 0; i < 10_000; i++) {
      log.println("line " + i); // would never return if it waited for the reader
    }
    long dropped = log.dropped();
    assertEquals(10_000 - 4096, dropped);
    reader.go.countDown();
    log.close(20_000);
    String text = reader.seen.toString(StandardCharsets.UTF_8);
    assertTrue(text.startsWith("first\nline 0\nline 1\n"), "in order");
    assertTrue(text.contains("log dropped " + dropped + " lines"), "the loss is told");
    assertEquals(1 + 4096 + 1, text.lines().count());
  }
}

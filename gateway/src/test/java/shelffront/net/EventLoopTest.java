package shelffront.net;

import static org.junit.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.Test;

public class EventLoopTest {

  /**
   * Guards against connection timeouts that expire before the first turn because the program took
   * long to start.
   */
  @Test
  public void scheduledDelayCountsFromClockNotFromTurn() throws Exception {
    AtomicLong clock = new AtomicLong(1_000_000);
    EventLoop loop = new EventLoop(clock::get, new Counters());
    List<String> ran = new ArrayList<>();
    clock.addAndGet(300_000);
    loop.scheduleAfter(250_000, () -> ran.add("timeout"));
    loop.scheduleAt(
        1_000_000,
        () -> {
          ran.add("turn at " + loop.nowMicros());
          loop.stop();
        });
    loop.run();
    assertEquals(List.of("turn at 1300000"), ran);
  }
}

package review.common;

import java.time.Instant;
import java.time.temporal.ChronoUnit;

/** The clock that every stand-in of a test reads, in Unix microseconds. */
public final class Clock {

  private Clock() {}

  public static long micros() {
    return ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
  }

  public static void sleepUntil(long micros) throws InterruptedException {
    for (long left = micros - micros(); left > 0; left = micros - micros()) {
      Thread.sleep(left / 1000, (int) (left % 1000) * 1000);
    }
  }
}

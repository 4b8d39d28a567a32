package shelffront.statistics;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests that the limit increases with timely responses and decreases once per latency. */
class ConcurrencyLimitTest {

  private static final long LATENCY_MICROS = 100_000;

  private final ConcurrencyLimit limit = new ConcurrencyLimit();

  private boolean hasCapacity(int outstanding) {
    return limit.hasCapacity(1_000_000, 1, outstanding, 0, LATENCY_MICROS);
  }

  @Test
  void keepsLimitWhenInitializedAgain() {
    limit.initialize(2);
    limit.initialize(50);
    assertTrue(hasCapacity(1));
    assertFalse(hasCapacity(2));
    assertFalse(
        limit.hasCapacity(1_000_000, 0.5, 1, 0, LATENCY_MICROS), "half of the limit is available");
  }

  @Test
  void growsWhileUsedUpToItsBound() {
    limit.initialize(4);
    for (int i = 0; i < 100; i++) {
      limit.increase(0);
    }
    assertFalse(hasCapacity(4), "an unused limit does not increase");
    for (int i = 0; i < 100_000; i++) {
      limit.increase(300);
    }
    assertTrue(hasCapacity(199));
    assertFalse(hasCapacity(200));
  }

  @Test
  void decreasesOnceWithinALatency() {
    limit.initialize(16);
    limit.decrease(1_000_000, LATENCY_MICROS, 0.5);
    limit.decrease(1_000_001, LATENCY_MICROS, 0.5);
    assertTrue(hasCapacity(7));
    limit.decrease(1_000_000 + LATENCY_MICROS + 1, LATENCY_MICROS, 0.5);
    assertFalse(hasCapacity(4));
  }

  @Test
  void spacesRequestsOutBelowOne() {
    limit.initialize(1);
    limit.decrease(0, LATENCY_MICROS, 0.5);
    assertFalse(limit.hasCapacity(2 * LATENCY_MICROS, 1, 0, 0, LATENCY_MICROS));
    assertTrue(limit.hasCapacity(2 * LATENCY_MICROS + 1, 1, 0, 0, LATENCY_MICROS));
    for (int i = 1; i < 100; i++) {
      limit.decrease(i * 2 * LATENCY_MICROS, LATENCY_MICROS, 0.5);
    }
    assertTrue(
        limit.hasCapacity(40 * LATENCY_MICROS, 1, 0, 0, LATENCY_MICROS),
        "the minimum limit still admits requests");
    limit.halve();
    assertTrue(
        limit.hasCapacity(1, 1, 0, 0, LATENCY_MICROS),
        "a limit halved by an ejection is at least 1");
  }
}

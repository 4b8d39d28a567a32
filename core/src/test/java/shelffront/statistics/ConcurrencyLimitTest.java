package shelffront.statistics;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** A window grows by what is answered well, and is cut once in an answer time. */
class ConcurrencyLimitTest {

  private static final long TOOK = 100_000;

  private final ConcurrencyLimit window = new ConcurrencyLimit();

  private boolean room(int out) {
    return window.hasCapacity(1_000_000, 1, out, 0, TOOK);
  }

  @Test
  void aSecondOpeningKeepsWhatWasLearned() {
    window.initialize(2);
    window.initialize(50);
    assertTrue(room(1));
    assertFalse(room(2));
    assertFalse(window.hasCapacity(1_000_000, 0.5, 1, 0, TOOK), "a part of it");
  }

  @Test
  void itGrowsWhileItIsUsedAndNoFurtherThanItsBound() {
    window.initialize(4);
    for (int i = 0; i < 100; i++) {
      window.increase(0);
    }
    assertFalse(room(4), "one that is not used does not grow");
    for (int i = 0; i < 100_000; i++) {
      window.increase(300);
    }
    assertTrue(room(199));
    assertFalse(room(200));
  }

  @Test
  void itIsCutOnceInAnAnswerTime() {
    window.initialize(16);
    window.decrease(1_000_000, TOOK, 0.5);
    window.decrease(1_000_001, TOOK, 0.5);
    assertTrue(room(7));
    window.decrease(1_000_000 + TOOK + 1, TOOK, 0.5);
    assertFalse(room(4));
  }

  @Test
  void underOneItSpacesRequestsOut() {
    window.initialize(1);
    window.decrease(0, TOOK, 0.5);
    assertFalse(window.hasCapacity(2 * TOOK, 1, 0, 0, TOOK));
    assertTrue(window.hasCapacity(2 * TOOK + 1, 1, 0, 0, TOOK));
    for (int i = 1; i < 100; i++) {
      window.decrease(i * 2 * TOOK, TOOK, 0.5);
    }
    assertTrue(window.hasCapacity(40 * TOOK, 1, 0, 0, TOOK), "never shut for ever");
    window.halve();
    assertTrue(window.hasCapacity(1, 1, 0, 0, TOOK), "back from a ban it begins with one");
  }
}

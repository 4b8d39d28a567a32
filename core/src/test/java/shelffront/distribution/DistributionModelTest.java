package shelffront.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import shelffront.distribution.ReplicatedView.Guard;

class DistributionModelTest {

  @Property(tries = 3000)
  void theViewStaysConsistentInAnyOrderOfEvents(@ForAll long seed) {
    assertEquals(List.of(), DistributionModel.run(seed, EnumSet.allOf(Guard.class)));
  }

  /** Ensures that the model can detect a fault of each guard: disabling it causes a violation. */
  @ParameterizedTest
  @EnumSource(Guard.class)
  void disablingAnyGuardCausesAViolation(Guard guard) {
    Set<Guard> others = EnumSet.complementOf(EnumSet.of(guard));
    boolean caught = false;
    for (long seed = 0; seed < 20_000 && !caught; seed++) {
      caught = !DistributionModel.run(seed, others).isEmpty();
    }
    assertTrue(caught, "no violation found with the guard " + guard + " disabled");
  }

  @Test
  void aSubscriberBehindTheChangeLogGetsASnapshot() {
    RecordTable table = new RecordTable(2, 1000);
    for (int i = 1; i <= 5; i++) {
      table.apply(new RecordChange(new Version(0, i), "a", "d" + i));
    }
    assertTrue(
        table.updateFor(new Version(0, 2), SubscriptionFilter.ALL) instanceof Update.Snapshot);
    Update update = table.updateFor(new Version(0, 3), SubscriptionFilter.ALL);
    assertEquals(2, ((Update.Changes) update).changes().size());
    assertEquals(
        null,
        table.updateFor(new Version(0, 6), SubscriptionFilter.ALL),
        "a subscriber that is ahead gets no update");
  }
}

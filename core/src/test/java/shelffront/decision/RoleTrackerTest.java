package shelffront.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Guards against reads that are sent unchecked to a host which has told that it is a replica,
 * whatever happened to its entry or the router and in whatever order messages arrive, and against a
 * primary that does not serve although it has proved to be one.
 */
class RoleTrackerTest {

  private static final int STEPS = 150;

  @Property(tries = 3000, seed = "60")
  void trustsNoFormerPrimaryAndEveryProvedOne(@ForAll long seed) {
    RoleWorld world = new RoleWorld(seed);
    for (int i = 0; i < STEPS; i++) {
      world.step();
      assertEquals("", world.violation(), "after step " + i);
    }
  }
}

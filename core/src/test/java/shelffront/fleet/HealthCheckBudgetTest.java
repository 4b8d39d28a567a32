package shelffront.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** What a fleet spends on health checks follows its traffic, not its size. */
class HealthCheckBudgetTest {

  private static int spent(HealthCheckBudget budget, int requests) {
    int probes = 0;
    for (int i = 0; i <= requests; i++) {
      while (budget.tryAcquire()) {
        probes++;
      }
      budget.recordRequest();
    }
    return probes;
  }

  @Test
  void limitsStartOfAllGatewaysToOneBurst() {
    for (int gateways : new int[] {20, 60, 100, 200}) {
      int probes = 0;
      for (int gateway = 0; gateway < gateways; gateway++) {
        probes += spent(new HealthCheckBudget(0.08, gateways), 0);
      }
      assertTrue(
          probes <= HealthCheckBudget.FLEET_BURST && probes >= 200, probes + " by " + gateways);
    }
  }

  @Test
  void limitsCostOfARequest() {
    // A health check for each request costs 0.08 points, so one for eight requests costs a
    // hundredth.
    assertEquals(20 + 125, spent(new HealthCheckBudget(0.08, 1), 1000), 1);
    assertEquals(20 + 1000, spent(new HealthCheckBudget(0.01, 1), 1000), 1);
    assertEquals(
        20 + 1000, spent(new HealthCheckBudget(0, 1), 1000), 1, "free: still one a request");
  }

  @Test
  void boundsWhatIsSavedUp() {
    HealthCheckBudget budget = new HealthCheckBudget(0.01, 100);
    for (int i = 0; i < 10_000; i++) {
      budget.recordRequest();
    }
    assertEquals(4, spent(budget, 0));
  }

  @Test
  void leavesSomeToEveryGatewayOfTheGreatestFleet() {
    assertEquals(2, spent(new HealthCheckBudget(0.08, 5_000), 0));
  }
}

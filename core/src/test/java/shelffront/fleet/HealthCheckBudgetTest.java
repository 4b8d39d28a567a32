package shelffront.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests that the health checks of a fleet grow with its traffic and not with its size. */
class HealthCheckBudgetTest {

  private static int healthChecksFor(HealthCheckBudget budget, int requests) {
    int healthChecks = 0;
    for (int i = 0; i <= requests; i++) {
      while (budget.tryAcquire()) {
        healthChecks++;
      }
      budget.recordRequest();
    }
    return healthChecks;
  }

  @Test
  void limitsStartOfAllGatewaysToOneBurst() {
    for (int gateways : new int[] {20, 60, 100, 200}) {
      int healthChecks = 0;
      for (int gateway = 0; gateway < gateways; gateway++) {
        healthChecks += healthChecksFor(new HealthCheckBudget(0.08, gateways), 0);
      }
      assertTrue(
          healthChecks <= HealthCheckBudget.FLEET_BURST && healthChecks >= 200,
          healthChecks + " health checks by " + gateways + " gateways");
    }
  }

  @Test
  void limitsCostOfARequest() {
    // One health check per request costs 0.08 points, so one per eight requests costs 0.01.
    assertEquals(20 + 125, healthChecksFor(new HealthCheckBudget(0.08, 1), 1000), 1);
    assertEquals(20 + 1000, healthChecksFor(new HealthCheckBudget(0.01, 1), 1000), 1);
    assertEquals(
        20 + 1000,
        healthChecksFor(new HealthCheckBudget(0, 1), 1000),
        1,
        "free health checks are still limited to one per request");
  }

  @Test
  void boundsAccumulatedHealthChecks() {
    HealthCheckBudget budget = new HealthCheckBudget(0.01, 100);
    for (int i = 0; i < 10_000; i++) {
      budget.recordRequest();
    }
    assertEquals(4, healthChecksFor(budget, 0));
  }

  @Test
  void leavesAMinimumToEveryGatewayOfALargeFleet() {
    assertEquals(2, healthChecksFor(new HealthCheckBudget(0.08, 5_000), 0));
  }
}

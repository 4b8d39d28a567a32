package shelffront.fleet;

/**
 * How many health checks one gateway may send that no event calls for.
 *
 * <p>Invariants: the budget grows with the requests that the gateway takes, so the fleet's checks
 * grow with its traffic and not with its number of gateways; neither a start of all gateways at
 * once nor the end of a quiet hour sets free more than {@link #FLEET_BURST} of them. Not safe for
 * use by several threads.
 */
public final class HealthCheckBudget {

  /** Health checks that all gateways together may have saved up. */
  static final double FLEET_BURST = 400;

  /** The part of one gateway in a small fleet. */
  static final double MAX_BURST = 20;

  /** The part of one gateway in a fleet of any size. */
  static final double MIN_BURST = 2;

  /** Most points of service that a request may cost in health checks. */
  static final double MAX_COST_PER_REQUEST = 0.01;

  private final double checksPerRequest;
  private final double burst;
  private double available;

  /**
   * Starts with a whole burst.
   *
   * @param healthCheckCost points of service that a health check for each request costs; 0 where
   *     they are free
   */
  public HealthCheckBudget(double healthCheckCost, int gatewayCount) {
    checksPerRequest = Math.min(1, MAX_COST_PER_REQUEST / healthCheckCost);
    burst = Math.max(MIN_BURST, Math.min(MAX_BURST, FLEET_BURST / Math.max(1, gatewayCount)));
    available = burst;
  }

  /** A request came. */
  public void recordRequest() {
    available = Math.min(burst, available + checksPerRequest);
  }

  /** Takes a health check from the budget; false where none is left. */
  public boolean tryAcquire() {
    if (available < 1) {
      return false;
    }
    available -= 1;
    return true;
  }
}

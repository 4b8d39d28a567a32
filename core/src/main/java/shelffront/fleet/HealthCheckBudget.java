package shelffront.fleet;

/**
 * Limits the health checks that one gateway sends on its own initiative.
 *
 * <p>Invariants: the budget grows with the requests that the gateway receives, so the health checks
 * of the fleet grow with its traffic and not with its number of gateways. Neither a simultaneous
 * start of all gateways nor the end of an idle period releases more than {@link #FLEET_BURST}
 * health checks, unless the fleet has so many gateways that {@link #MIN_BURST} for each gateway
 * exceeds that. Not thread-safe.
 */
public final class HealthCheckBudget {

  /** Maximum number of unused health checks that all gateways together accumulate. */
  static final double FLEET_BURST = 400;

  /** Maximum burst of one gateway, which applies in a small fleet. */
  static final double MAX_BURST = 20;

  /** Minimum burst of one gateway in a fleet of any size. */
  static final double MIN_BURST = 2;

  /** Maximum cost of health checks per request, in the unit of {@code healthCheckCost}. */
  static final double MAX_COST_PER_REQUEST = 0.01;

  private final double checksPerRequest;
  private final double burst;
  private double available;

  /**
   * Creates a budget with a full burst available.
   *
   * @param healthCheckCost cost of one health check per request; 0 if health checks are free
   */
  public HealthCheckBudget(double healthCheckCost, int gatewayCount) {
    checksPerRequest = Math.min(1, MAX_COST_PER_REQUEST / healthCheckCost);
    burst = Math.max(MIN_BURST, Math.min(MAX_BURST, FLEET_BURST / Math.max(1, gatewayCount)));
    available = burst;
  }

  /** Records that the gateway received a request. */
  public void recordRequest() {
    available = Math.min(burst, available + checksPerRequest);
  }

  /** Takes one health check from the budget; returns false if none is left. */
  public boolean tryAcquire() {
    if (available < 1) {
      return false;
    }
    available -= 1;
    return true;
  }
}

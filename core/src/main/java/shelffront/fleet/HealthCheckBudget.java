package shelffront.fleet;

/**
 * What one gateway may spend on probes that no event calls for: it grows with the requests it
 * takes, so the fleet's probes grow with its traffic and not with its number of gateways, and
 * neither a start of all gateways at once nor the end of a quiet hour sets free more than {@link
 * #FLEET_BURST} of them.
 */
public final class HealthCheckBudget {

  /** Probes that all gateways together may have saved up. */
  static final double FLEET_BURST = 400;

  /** Of those, by each gateway of a small fleet, and of one of any size. */
  static final double MOST = 20;

  static final double LEAST = 2;

  /** Most points of service that a request may cost in probes. */
  static final double COST = 0.01;

  private final double each;
  private final double most;
  private double left;

  /**
   * The price is that of a probe for each request, in points of service; 0 where probes are free.
   */
  public HealthCheckBudget(double price, int gateways) {
    each = Math.min(1, COST / price);
    most = Math.max(LEAST, Math.min(MOST, FLEET_BURST / Math.max(1, gateways)));
    left = most;
  }

  /** A request came. */
  public void recordRequest() {
    left = Math.min(most, left + each);
  }

  /** Takes a probe from the allowance; false where none is left. */
  public boolean tryAcquire() {
    boolean may = left >= 1;
    left -= may ? 1 : 0;
    return may;
  }
}

package shelffront.quota;

import java.util.Arrays;

/**
 * The quota of one tenant, or of one request class of a tenant: its weight, its demand, the rate
 * granted to it, and the number of its open requests. Created and modified only by {@link
 * TenantQuotas}.
 *
 * <p>Threads: belongs to the event loop of its tenant.
 */
public final class Quota {

  private static final Quota[] NO_CLASSES = {};

  private final TokenBucket rateLimit = new TokenBucket(0, 1, 0);
  private double weight;
  private Quota[] classQuotas = NO_CLASSES;
  private double requestsInWindow;
  private double demandPerSecond;
  private int idleWindows;
  private boolean active;
  private int openRequests;

  Quota(double weight, double[] classWeights) {
    setWeights(weight, classWeights);
  }

  /** Keeps the demands of the classes, unless the number of classes changes. */
  void setWeights(double newWeight, double[] classWeights) {
    weight = newWeight;
    if (classWeights == null || classWeights.length == 0) {
      classQuotas = NO_CLASSES;
    } else if (classQuotas.length != classWeights.length) {
      classQuotas =
          Arrays.stream(classWeights)
              .mapToObj(classWeight -> new Quota(classWeight, null))
              .toArray(Quota[]::new);
    } else {
      for (int i = 0; i < classQuotas.length; i++) {
        classQuotas[i].weight = classWeights[i];
      }
    }
  }

  double weight() {
    return weight;
  }

  boolean hasClassQuotas() {
    return classQuotas.length > 0;
  }

  Quota[] classQuotas() {
    return classQuotas;
  }

  /** Returns the quota of a class; null if the classes of the tenant have no quotas. */
  Quota classQuota(int classIndex) {
    return hasClassQuotas() ? classQuotas[classIndex] : null;
  }

  TokenBucket rateLimit() {
    return rateLimit;
  }

  /** Recent demand in requests per second, whether admitted or not. */
  double demandPerSecond() {
    return demandPerSecond;
  }

  void countRequest() {
    requestsInWindow++;
  }

  /**
   * Ends a window. The new demand is the rate of the last window, or the mean of that rate and the
   * previous demand if that is higher, so that an increase takes full effect at once.
   */
  void endWindow(double seconds) {
    double lastWindowPerSecond = requestsInWindow / seconds;
    demandPerSecond = Math.max(lastWindowPerSecond, (demandPerSecond + lastWindowPerSecond) / 2);
    idleWindows = requestsInWindow > 0 ? 0 : idleWindows + 1;
    requestsInWindow = 0;
  }

  /** Whether the quota takes part in the division of the rate. */
  boolean isActive() {
    return active;
  }

  void activate() {
    active = true;
    idleWindows = 0;
  }

  void deactivate() {
    active = false;
  }

  /**
   * Whether there was no request for more than the given number of windows and no request is open.
   */
  boolean isIdleLongerThan(int windows) {
    return idleWindows > windows && openRequests == 0;
  }

  int openRequests() {
    return openRequests;
  }

  void countOpened() {
    openRequests++;
  }

  void countClosed() {
    openRequests--;
  }
}

package shelffront.quota;

import java.util.Arrays;

/**
 * The quota of one tenant, or of one class of a tenant: its weight, what it asks for, the rate that
 * it was granted, and how many of its requests are open. {@link TenantQuotas} gives it out and is
 * the only one that changes it.
 *
 * <p>Threads: belongs to the event loop on which its tenant lives.
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

  /** Keeps what classes have asked for, unless their number changes. */
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

  /** The quota of a class; null where the tenant's classes have none. */
  Quota classQuota(int classIndex) {
    return hasClassQuotas() ? classQuotas[classIndex] : null;
  }

  TokenBucket rateLimit() {
    return rateLimit;
  }

  /** Requests a second that it asked for of late. */
  double demandPerSecond() {
    return demandPerSecond;
  }

  void countRequest() {
    requestsInWindow++;
  }

  /**
   * Ends a window. The demand is the greater of the last window's rate and the mean with the demand
   * before: a tenant whose demand grows is not held back by its past.
   */
  void endWindow(double seconds) {
    double lastWindowPerSecond = requestsInWindow / seconds;
    demandPerSecond = Math.max(lastWindowPerSecond, (demandPerSecond + lastWindowPerSecond) / 2);
    idleWindows = requestsInWindow > 0 ? 0 : idleWindows + 1;
    requestsInWindow = 0;
  }

  /** Whether it is among those that the rate is divided among. */
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

  /** Whether it asked for nothing for more windows than these and has no open request. */
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

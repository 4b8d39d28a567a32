package shelffront.tenant;

import shelffront.net.Counters;
import shelffront.quota.Quota;
import shelffront.quota.TenantQuotas;
import shelffront.quota.TokenBucket;

/**
 * Decides whether a tenant may take one more request: its own rate limit and bound on open requests
 * first, then its quota of what all tenants share. Every admitted request holds one place of the
 * quota until {@link #release}. On the loop thread.
 */
final class RequestAdmission {

  /** When a client that found no place here may come again. */
  private static final long BUSY_RETRY_AFTER_MICROS = 200_000;

  private final TenantContext context;
  private final TenantQuotas quotas; // null where the tenant has the gateway to itself
  private final Quota quota;
  private final TokenBucket rateLimit;

  RequestAdmission(TenantContext context, TenantQuotas quotas) {
    this.context = context;
    this.quotas = quotas;
    TenantSpec spec = context.spec();
    quota = quotas == null ? null : quotas.register(spec.weight(), spec.classWeights());
    rateLimit =
        new TokenBucket(
            spec.bounds().requestsPerSecond(), spec.bounds().burst(), context.nowMicros());
  }

  /** Whether the tenant shares the gateway with others. */
  boolean isShared() {
    return quotas != null;
  }

  /** Admits a request, or says after how many microseconds it may come again; 0 is admitted. */
  long admit(int classIndex, int openRequests) {
    long rateLimitWaitMicros = rateLimit.waitMicros(context.nowMicros());
    if (rateLimitWaitMicros > 0 || openRequests >= context.spec().bounds().openRequests()) {
      context.network().counters().add(Counters.Name.REFUSED_BY_LIMIT);
      return Math.max(rateLimitWaitMicros, BUSY_RETRY_AFTER_MICROS);
    }
    long quotaWaitMicros = quota == null ? 0 : quotas.admit(quota, classIndex, context.nowMicros());
    if (quotaWaitMicros > 0) {
      context.network().counters().add(Counters.Name.REFUSED_BY_SHARE);
      return quotaWaitMicros;
    }
    rateLimit.consume();
    return 0;
  }

  /** Gives back the place of an admitted request. */
  void release() {
    if (quota != null) {
      quotas.release(quota);
    }
  }

  void updateRateLimit(TenantSpec.Bounds bounds) {
    rateLimit.reconfigure(bounds.requestsPerSecond(), bounds.burst(), context.nowMicros());
  }

  void updateWeights(TenantSpec spec) {
    if (quota != null) {
      quotas.updateWeights(quota, spec.weight(), spec.classWeights());
    }
  }

  /** Ends the tenant's part in what all share. */
  void unregister() {
    if (quota != null) {
      quotas.unregister(quota);
    }
  }
}

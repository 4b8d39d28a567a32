package shelffront.tenant;

import shelffront.net.Counters;
import shelffront.quota.Quota;
import shelffront.quota.TenantQuotas;
import shelffront.quota.TokenBucket;

/**
 * Decides whether a tenant may accept another request. Checks the tenant's own rate limit and bound
 * on open requests first, then its quota of the capacity that all tenants share. Every admitted
 * request holds one place of the quota until {@link #release}. Confined to the event loop.
 */
final class RequestAdmission {

  /** Minimum Retry-After of a request that exceeds the tenant's own limits. */
  private static final long MIN_RETRY_AFTER_MICROS = 200_000;

  /** Slow clients are disconnected, and their memory released, within a few seconds. */
  private static final long MEMORY_RETRY_AFTER_MICROS = 500_000;

  private final TenantContext context;
  private final TenantQuotas quotas; // null if the tenant is the only one of the gateway
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

  /** Whether the gateway serves several tenants. */
  boolean isShared() {
    return quotas != null;
  }

  /**
   * Admits or rejects a request.
   *
   * @return 0 if admitted, otherwise the microseconds after which the client may retry
   */
  long admit(int classIndex, int openRequests) {
    long rateLimitWaitMicros = rateLimit.waitMicros(context.nowMicros());
    if (rateLimitWaitMicros > 0 || openRequests >= context.spec().bounds().openRequests()) {
      context.network().counters().add(Counters.Name.REFUSED_BY_LIMIT);
      return Math.max(rateLimitWaitMicros, MIN_RETRY_AFTER_MICROS);
    }
    long quotaWaitMicros = quota == null ? 0 : quotas.admit(quota, classIndex, context.nowMicros());
    if (quotaWaitMicros > 0) {
      context.network().counters().add(Counters.Name.REFUSED_BY_SHARE);
      return quotaWaitMicros;
    }
    rateLimit.consume();
    return 0;
  }

  /** Retry-After of a request for which there is no memory; 0 if it may not be given. */
  long retryAfterWithoutMemoryMicros() {
    return context.spec().settings().limits().retryAfterMicros(MEMORY_RETRY_AFTER_MICROS);
  }

  /** Releases the quota place of an admitted request. */
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

  /** Removes the tenant from the division of the shared capacity. */
  void unregister() {
    if (quota != null) {
      quotas.unregister(quota);
    }
  }
}

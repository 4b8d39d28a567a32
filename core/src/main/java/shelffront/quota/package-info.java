/**
 * Division of the resources of one gateway among its tenants, by weight.
 *
 * <p>{@link shelffront.quota.TenantQuotas} admits requests within the {@link
 * shelffront.quota.Quota} of each tenant, which limits its request rate and its open requests; the
 * event loops share {@link shelffront.quota.SharedCapacity}. {@link
 * shelffront.quota.ConnectionQuotas} divides sockets, and {@link
 * shelffront.quota.DeficitRoundRobin} divides the time of an event loop. {@link
 * shelffront.quota.EventLoopPlacement} assigns tenants to event loops. The division of the rate is
 * based on {@link shelffront.quota.MaxMinFairness} and {@link shelffront.quota.TokenBucket}.
 *
 * <p>Threads: this is the only package of {@code core} that several threads may use, through {@code
 * SharedCapacity}, {@code ConnectionQuotas} and {@code ConnectionQuota}, which use atomics and
 * never block. All other classes belong to one event loop. Times are microseconds and are passed in
 * by the caller.
 */
package shelffront.quota;

/**
 * What the tenants of one gateway share, and how it is divided among them by weight.
 *
 * <p>{@link shelffront.quota.TenantQuotas} admits requests under each tenant's {@link
 * shelffront.quota.Quota} of the rate and of the open requests; the event loops share {@link
 * shelffront.quota.SharedCapacity}. {@link shelffront.quota.ConnectionQuotas} divides sockets, and
 * {@link shelffront.quota.DeficitRoundRobin} the time of an event loop. {@link
 * shelffront.quota.EventLoopPlacement} decides on which loop a tenant lives. {@link
 * shelffront.quota.MaxMinFairness} and {@link shelffront.quota.TokenBucket} are what the division
 * of the rate rests on.
 *
 * <p>Threads: this is the only package of {@code core} that more than one thread may enter, in
 * {@code SharedCapacity}, {@code ConnectionQuotas} and {@code ConnectionQuota}; they use atomics
 * and nothing waits. Everything else belongs to one event loop. Times are microseconds and come
 * from the caller.
 */
package shelffront.quota;

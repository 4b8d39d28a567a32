package shelffront.routing;

/**
 * Limits that every attempt must observe.
 *
 * @param drainGraceMicros time within which attempts to a draining or removed endpoint must end
 * @param slowStartInitialCapacity fraction of its capacity that an endpoint has at its start
 * @param slowStartDurationMicros age at which an endpoint has its full capacity
 * @param overloadFactor multiple of its current capacity at which a warming endpoint fails
 * @param overloadWindowMicros time window over which that multiple is measured
 * @param removalIsAdvisory whether an endpoint that is no longer in the list may still be up
 * @param pollIntervalMicros time after which a gateway that has not polled the list is treated as
 *     if it had received the latest version
 * @param responseSlackMicros time after its deadline during which a final response is still
 *     accepted
 */
public record SafetyRules(
    long drainGraceMicros,
    double slowStartInitialCapacity,
    long slowStartDurationMicros,
    double overloadFactor,
    long overloadWindowMicros,
    boolean removalIsAdvisory,
    long pollIntervalMicros,
    long responseSlackMicros) {}

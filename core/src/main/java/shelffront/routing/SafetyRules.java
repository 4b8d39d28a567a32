package shelffront.routing;

/**
 * Figures of the rules that no attempt may break.
 *
 * @param drainGraceMicros time within which attempts at a draining or removed endpoint must end
 * @param slowStartInitialCapacity fraction of its capacity that an endpoint starts with
 * @param slowStartDurationMicros age at which it has all of its capacity
 * @param overloadFactor multiple of its capacity that a warming endpoint does not survive
 * @param overloadWindowMicros time within which that multiple counts
 * @param removalIsAdvisory whether an endpoint that the list no longer names may still be up
 * @param pollIntervalMicros time after which a gateway that has not polled the list counts as told
 * @param responseSlackMicros how far past its deadline a final answer still counts
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

package shelffront.routing;

/** The figures of the rules. */
public record SafetyRules(
    long drainGraceMicros,
    double slowStartInitialCapacity,
    long slowStartDurationMicros,
    double overloadFactor,
    long overloadWindowMicros,
    boolean removalIsAdvisory,
    long pollIntervalMicros,
    long responseSlackMicros) {}

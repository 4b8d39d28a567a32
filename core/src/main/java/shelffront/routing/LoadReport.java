package shelffront.routing;

/** A member's report about itself; negative figures and {@link #UNKNOWN} were not given. */
public record LoadReport(
    long positionMicros, Role role, double outstanding, double queued, double utilization) {}

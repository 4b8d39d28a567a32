package shelffront.routing;

/** A host's report about itself; negative figures and {@link Router#UNKNOWN} were not given. */
public record LoadReport(
    long positionMicros, Role role, double outstanding, double queued, double utilization) {}

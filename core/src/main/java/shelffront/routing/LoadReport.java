package shelffront.routing;

/**
 * Load and replication state that a host reports; negative figures and {@link Router#UNKNOWN} mean
 * that the host did not report the value.
 */
public record LoadReport(
    long positionMicros, Role role, double outstanding, double queued, double utilization) {}

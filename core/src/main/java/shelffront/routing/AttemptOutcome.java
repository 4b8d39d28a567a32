package shelffront.routing;

/** How an attempt ended; {@code finished} when the client has had its answer. */
public record AttemptOutcome(
    String requestId,
    int attemptNumber,
    String endpointId,
    AttemptStatus status,
    boolean requestCompleted,
    long elapsedMicros,
    Role role,
    long positionMicros,
    LoadReport loadReport) {}

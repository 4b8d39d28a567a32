package shelffront.routing;

/**
 * A request. {@code left} is the time until the client gives up, {@code after} the carried position
 * of the session's last write ({@link #UNKNOWN}: none).
 */
public record Request(
    String id,
    int classIndex,
    String sessionId,
    int replicaSet,
    long timeToDeadlineMicros,
    long requiredPositionMicros,
    boolean clientRetry) {}

package shelffront.routing;

/**
 * One statement of a client, until its one final answer.
 *
 * @param classIndex place of its class in {@link RoutingSettings#requestClasses}
 * @param sessionId session whose writes a read must see; null outside of sessions
 * @param replicaSet number of the replica set that holds its data
 * @param timeToDeadlineMicros time until the client gives up
 * @param requiredPositionMicros carried position of the session's last write, or {@link
 *     Router#UNKNOWN}
 * @param clientRetry whether the client sent the same request before
 */
public record Request(
    String id,
    int classIndex,
    String sessionId,
    int replicaSet,
    long timeToDeadlineMicros,
    long requiredPositionMicros,
    boolean clientRetry) {}

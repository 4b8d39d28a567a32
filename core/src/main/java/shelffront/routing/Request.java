package shelffront.routing;

/**
 * One statement of a client, from its arrival to its single final response.
 *
 * @param classIndex index of its request class in {@link RoutingSettings#requestClasses}
 * @param sessionId session whose writes a read must see; null if the request belongs to no session
 * @param replicaSet number of the replica set that holds the data of the request
 * @param timeToDeadlineMicros time from arrival to the deadline, after which the client stops
 *     waiting
 * @param requiredPositionMicros position of the session's last write as sent by the client, or
 *     {@link Router#UNKNOWN}
 * @param clientRetry whether the client has already sent the same request
 * @param idempotencyKey key by which hosts recognize a repeat; null if it has none
 */
public record Request(
    String id,
    int classIndex,
    String sessionId,
    int replicaSet,
    long timeToDeadlineMicros,
    long requiredPositionMicros,
    boolean clientRetry,
    String idempotencyKey) {

  /** Creates a request without an idempotency key. */
  public Request(
      String id,
      int classIndex,
      String sessionId,
      int replicaSet,
      long timeToDeadlineMicros,
      long requiredPositionMicros,
      boolean clientRetry) {
    this(
        id,
        classIndex,
        sessionId,
        replicaSet,
        timeToDeadlineMicros,
        requiredPositionMicros,
        clientRetry,
        null);
  }
}

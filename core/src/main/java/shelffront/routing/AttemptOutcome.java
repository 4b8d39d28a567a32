package shelffront.routing;

/**
 * How an attempt ended.
 *
 * @param attemptNumber number of the attempt within its request, from 0
 * @param requestCompleted whether the client has had its final answer
 * @param elapsedMicros from sending to the end
 * @param role what the response told of its host's role
 * @param positionMicros position that the response told, or {@link Router#UNKNOWN}
 * @param loadReport what the response reported of its host; null when nothing
 */
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

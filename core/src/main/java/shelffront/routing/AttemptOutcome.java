package shelffront.routing;

/**
 * The outcome of an attempt.
 *
 * @param attemptNumber number of the attempt within its request, from 0
 * @param requestCompleted whether the client has already received its final response
 * @param elapsedMicros time from sending the attempt to its end
 * @param role role of the host as stated in the response
 * @param positionMicros position of the host as stated in the response, or {@link Router#UNKNOWN}
 * @param loadReport load report carried by the response; null if it carried none
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

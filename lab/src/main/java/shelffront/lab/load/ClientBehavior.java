package shelffront.lab.load;

/**
 * How the clients of a load behave, apart from the kinds of requests that they send.
 *
 * @param arrivals arrival process of the requests
 * @param sessions number of sessions that the requests are distributed over
 * @param sessionSkew exponent of the distribution over sessions: 1 is uniform, larger values
 *     concentrate the requests on fewer sessions
 * @param readBackFraction fraction of the served writes whose session is read shortly afterwards,
 *     with the first read-only kind
 * @param retries maximum number of retries of a rejected request, each after its Retry-After and at
 *     least 50 ms
 * @param reconnectFraction fraction of the responses after which the client closes its connection
 *     and opens a new one
 * @param hangUpFraction fraction of the requests whose client may disconnect before the response
 */
public record ClientBehavior(
    ArrivalSchedule.Pattern arrivals,
    int sessions,
    double sessionSkew,
    double readBackFraction,
    int retries,
    double reconnectFraction,
    double hangUpFraction) {

  private static final int DEFAULT_SESSION_COUNT = 997;

  /** Uniform arrivals; clients never retry, reconnect or disconnect early. */
  public static final ClientBehavior PLAIN =
      new ClientBehavior(ArrivalSchedule.Pattern.EVEN, DEFAULT_SESSION_COUNT, 1, 0, 0, 0, 0);
}

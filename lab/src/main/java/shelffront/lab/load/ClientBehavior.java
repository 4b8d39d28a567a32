package shelffront.lab.load;

/**
 * What clients are like beside what they ask.
 *
 * @param arrivals how requests come
 * @param sessions among which requests are spread
 * @param sessionSkew 1 for evenly, more for some that are much busier than others
 * @param readBackFraction part of the served writes that are read soon after, by the first kind
 *     that reads
 * @param retries how often one that was refused comes back, when it was told to
 * @param reconnectFraction part of the answers after which a client leaves and connects anew
 * @param hangUpFraction part of the requests whose client leaves before the answer
 */
public record ClientBehavior(
    ArrivalSchedule.Pattern arrivals,
    int sessions,
    double sessionSkew,
    double readBackFraction,
    int retries,
    double reconnectFraction,
    double hangUpFraction) {

  private static final int PLAIN_SESSIONS = 997;

  /** Even arrivals of clients that ask once and wait. */
  public static final ClientBehavior PLAIN =
      new ClientBehavior(ArrivalSchedule.Pattern.EVEN, PLAIN_SESSIONS, 1, 0, 0, 0, 0);
}

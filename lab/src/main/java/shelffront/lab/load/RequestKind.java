package shelffront.lab.load;

/**
 * A request class as the load generator sends it.
 *
 * @param latencyObjectiveMillis time after which a response is late
 * @param deadlineMillis time after which the client no longer waits for the response
 * @param share share of the requests, relative to the shares of the other kinds
 * @param priorityWeight value of a timely response
 */
public record RequestKind(
    String name,
    boolean write,
    int latencyObjectiveMillis,
    int deadlineMillis,
    double share,
    double priorityWeight) {

  /** Creates a kind with share 1 and priority weight 1. */
  public RequestKind(String name, boolean write, int latencyObjectiveMillis, int deadlineMillis) {
    this(name, write, latencyObjectiveMillis, deadlineMillis, 1, 1);
  }
}

package shelffront.lab.load;

/**
 * A class of requests.
 *
 * @param latencyObjectiveMillis after which an answer is late
 * @param deadlineMillis after which it is worth nothing and its client has gone
 * @param share of the requests, beside the other kinds' shares
 * @param priorityWeight of an answer on time
 */
public record RequestKind(
    String name,
    boolean write,
    int latencyObjectiveMillis,
    int deadlineMillis,
    double share,
    double priorityWeight) {

  /** One whose answers all have the same value. */
  public RequestKind(String name, boolean write, int latencyObjectiveMillis, int deadlineMillis) {
    this(name, write, latencyObjectiveMillis, deadlineMillis, 1, 1);
  }
}

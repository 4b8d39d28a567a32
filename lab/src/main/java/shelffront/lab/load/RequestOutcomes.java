package shelffront.lab.load;

/**
 * Counts of the outcomes of the requests of one kind, or of all kinds. Each request counted in
 * {@code due} ends as exactly one of on time, late, rejected, failed and unanswered.
 */
public final class RequestOutcomes {

  public long due;
  public long onTime;
  public long late;
  public long rejected;
  public long failed;

  /** Requests without a response: deadline passed, connection ended, or request queue full. */
  public long unanswered;

  /** Requests whose client disconnected on its own; these are not counted in {@code due}. */
  public long disconnectedByClient;

  double valueDue;
  double valueServed;

  /** Returns the value of the timely responses divided by the value due; 1 if none was due. */
  public double servedValueFraction() {
    return valueDue == 0 ? 1 : valueServed / valueDue;
  }
}

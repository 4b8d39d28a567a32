package shelffront.lab.load;

/**
 * What became of the requests of a kind, or of all. Each that was due ends as exactly one of the
 * others.
 */
public final class RequestOutcomes {

  public long due;
  public long onTime;
  public long late;
  public long rejected;
  public long failed;

  /** No answer, or a connection that ended without one. */
  public long unanswered;

  /** Its client left by itself; not part of what was due. */
  public long hungUp;

  double valueDue;
  double valueServed;

  /** Value of what was answered on time over value of what was due. */
  public double servedValueFraction() {
    return valueDue == 0 ? 1 : valueServed / valueDue;
  }
}

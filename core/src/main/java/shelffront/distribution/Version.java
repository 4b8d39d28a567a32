package shelffront.distribution;

/**
 * A position in the history of all records. The sequence is incremented by each change. A new
 * incarnation, greater than all earlier ones, starts after the coordination store was restored from
 * older data.
 */
public record Version(long incarnation, long sequence) implements Comparable<Version> {

  /** The version before any change. */
  public static final Version NONE = new Version(0, 0);

  /** Returns the version of the next change of the same incarnation. */
  public Version next() {
    return new Version(incarnation, sequence + 1);
  }

  public boolean isBefore(Version other) {
    return compareTo(other) < 0;
  }

  @Override
  public int compareTo(Version other) {
    int byIncarnation = Long.compare(incarnation, other.incarnation);
    return byIncarnation != 0 ? byIncarnation : Long.compare(sequence, other.sequence);
  }
}

package shelffront.distribution;

/**
 * A place in the history of all records. Sequences count changes and grow by one; an incarnation
 * begins a new history, after an engine was restored from older data, and is greater than those
 * before it.
 */
public record Version(long incarnation, long sequence) implements Comparable<Version> {

  /** Before any history. */
  public static final Version NONE = new Version(0, 0);

  /** The version of the next change of the same incarnation. */
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

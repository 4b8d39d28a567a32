package shelffront.distribution;

/**
 * One change of one record: its whole document after the change, null where it was removed. The
 * latest change of a name stands for the record.
 */
public record RecordChange(Version version, String name, String document) {

  public boolean isRemoval() {
    return document == null;
  }

  /** Characters that it holds, for bounds. */
  int size() {
    return name.length() + (document == null ? 0 : document.length());
  }
}

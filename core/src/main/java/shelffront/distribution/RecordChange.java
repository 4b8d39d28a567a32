package shelffront.distribution;

/**
 * One change of one record. The latest change of a name stands for the record.
 *
 * @param version of the history that the change led to
 * @param name of the record
 * @param document the whole record after the change; null where it was removed
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

package shelffront.distribution;

/**
 * A change of one record. The latest change of a name represents the record.
 *
 * @param version the version that the change produced
 * @param name the name of the record
 * @param document the complete record after the change, or null if it was removed
 */
public record RecordChange(Version version, String name, String document) {

  public boolean isRemoval() {
    return document == null;
  }

  /** Returns the size in characters, for the bounds of the change log. */
  int size() {
    return name.length() + (document == null ? 0 : document.length());
  }
}

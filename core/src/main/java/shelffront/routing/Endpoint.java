package shelffront.routing;

/**
 * An entry of the endpoint list.
 *
 * @param kind machine type as named in the endpoint list
 * @param replicaSet number of the replica set that the endpoint belongs to
 * @param capacityHint capacity relative to other endpoints
 * @param startedAtMicros start time of the endpoint; 0 if it has been up long enough to be warm
 * @param listedAsPrimary whether the endpoint list names it as the primary of its replica set
 */
public record Endpoint(
    String id,
    String kind,
    String zone,
    int replicaSet,
    double capacityHint,
    long startedAtMicros,
    boolean listedAsPrimary,
    Availability availability) {

  /** Returns a copy of this entry with the given availability. */
  public Endpoint withAvailability(Availability other) {
    return new Endpoint(
        id, kind, zone, replicaSet, capacityHint, startedAtMicros, listedAsPrimary, other);
  }
}

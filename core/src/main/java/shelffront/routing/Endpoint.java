package shelffront.routing;

/**
 * An entry of the endpoint list.
 *
 * @param kind kind of machine, as the list names it
 * @param replicaSet number of the replica set whose data the endpoint holds
 * @param capacityHint capacity relative to other endpoints
 * @param startedAtMicros when it started; 0 when it has been up for long
 * @param listedAsPrimary whether the list names it as its set's primary
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

  /** The same entry with another availability. */
  public Endpoint withAvailability(Availability other) {
    return new Endpoint(
        id, kind, zone, replicaSet, capacityHint, startedAtMicros, listedAsPrimary, other);
  }
}

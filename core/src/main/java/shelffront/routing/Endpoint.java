package shelffront.routing;

/** A line of the list. {@code startedAt} is 0 when the member has been up for long. */
public record Endpoint(
    String id,
    String kind,
    String zone,
    int replicaSet,
    double capacityHint,
    long startedAtMicros,
    boolean listedAsPrimary,
    Availability availability) {

  public Endpoint withAvailability(Availability other) {
    return new Endpoint(
        id, kind, zone, replicaSet, capacityHint, startedAtMicros, listedAsPrimary, other);
  }
}

package shelffront.distribution;

/** A distributor that may be asked: its address, and where it stands. */
public record DistributorEndpoint(String address, String region, String zone) {}

package shelffront.distribution;

/**
 * A distributor that may be asked.
 *
 * @param address host and port
 * @param region where it stands
 * @param zone of the region; empty for a distributor of the whole region
 */
public record DistributorEndpoint(String address, String region, String zone) {}

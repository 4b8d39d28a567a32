package shelffront.distribution;

/**
 * A distributor that subscribers may connect to.
 *
 * @param address host and port
 * @param region the region of the distributor
 * @param zone the zone within the region, or empty for a distributor of the whole region
 */
public record DistributorEndpoint(String address, String region, String zone) {}

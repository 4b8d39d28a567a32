package shelffront.routing;

/**
 * Which gateway of its fleet a routing module runs in.
 *
 * @param gatewayIndex position of this gateway among all of the fleet, from 0
 * @param gatewayCount number of gateways in the fleet
 * @param zone availability zone that this gateway runs in
 */
public record GatewayIdentity(int gatewayIndex, int gatewayCount, String zone) {}

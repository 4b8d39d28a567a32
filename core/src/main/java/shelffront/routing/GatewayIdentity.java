package shelffront.routing;

/**
 * Identifies the gateway of a fleet that a decision module runs in.
 *
 * @param gatewayIndex index of this gateway within the fleet, from 0
 * @param gatewayCount number of gateways in the fleet
 * @param zone availability zone of this gateway
 */
public record GatewayIdentity(int gatewayIndex, int gatewayCount, String zone) {}

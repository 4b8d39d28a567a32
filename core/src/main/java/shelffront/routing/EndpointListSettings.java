package shelffront.routing;

/**
 * How the gateway obtains the endpoint list and how far the list reflects roles.
 *
 * @param listedRoles how the list reflects role changes
 * @param polled whether the gateway polls the list; otherwise updates are pushed
 */
public record EndpointListSettings(ListedRoles listedRoles, boolean polled) {}

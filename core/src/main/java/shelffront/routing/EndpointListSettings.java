package shelffront.routing;

/**
 * Where the endpoint list comes from and what it tells.
 *
 * @param listedRoles how the list follows changes of roles
 * @param polled whether the gateway has to ask for the list; otherwise updates are pushed
 */
public record EndpointListSettings(ListedRoles listedRoles, boolean polled) {}

/**
 * Client connections: accepting, startup, command pipelining, eviction and orderly close.
 *
 * <p>{@link shelffront.frontend.FrontendConnections} owns the connections of one event loop. Each
 * connection passes its requests to a tenant as a {@link shelffront.request.ClientRequest} and gets
 * exactly one response to each. This package does not depend on database hosts.
 */
package shelffront.frontend;

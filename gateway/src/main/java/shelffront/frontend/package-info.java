/**
 * Connections of clients: accepting, startup, pipelining of commands, eviction, orderly ends.
 *
 * <p>{@link shelffront.frontend.FrontendConnections} owns the connections of one event loop. Each
 * hands its requests to a tenant as a {@link shelffront.request.ClientRequest} and gets exactly one
 * answer for it. Hosts are not known here.
 */
package shelffront.frontend;

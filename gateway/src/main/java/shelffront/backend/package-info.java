/**
 * Connections to database hosts: one pool per host, and the attempts and health checks on them.
 *
 * <p>{@link shelffront.backend.BackendConnections} owns the hosts, the connections and the calls of
 * one tenant. Every call ends exactly once, with a {@link shelffront.backend.BackendResponse} that
 * states whether the request was or may have been executed. This package does not depend on
 * clients.
 */
package shelffront.backend;

/**
 * Connections to database hosts: a pool for each host, attempts and health checks on them.
 *
 * <p>{@link shelffront.backend.BackendConnections} owns the hosts, the connections and the calls of
 * one tenant. Every call ends exactly once, with a {@link shelffront.backend.BackendResponse} that
 * says what is proved of its execution. Clients are not known here.
 */
package shelffront.backend;

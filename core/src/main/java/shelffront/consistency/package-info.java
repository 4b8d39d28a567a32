/**
 * What is known of positions in the replication log: how far a replica has applied it, and which
 * position a session's reads require.
 */
package shelffront.consistency;

/**
 * Positions in the replication log: how far each replica has applied it, and which position the
 * reads of a session require.
 */
package shelffront.consistency;

/**
 * The invariants of a simulation run. They are checked against what clients received and what was
 * executed in the replica sets, never against the gateway's own counters or logs.
 */
package shelffront.lab.invariants;

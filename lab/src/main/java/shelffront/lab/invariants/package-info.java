/**
 * The rules that every run has to keep, checked from what clients saw and what truly happened in
 * the replica sets, never from the gateway's own account.
 */
package shelffront.lab.invariants;

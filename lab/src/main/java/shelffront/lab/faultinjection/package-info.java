/**
 * Runs gateways and a coordination store as processes, injects faults between them, and checks
 * their rollout histories.
 */
package shelffront.lab.faultinjection;

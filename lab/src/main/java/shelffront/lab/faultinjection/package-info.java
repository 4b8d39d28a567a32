/**
 * Gateways and a coordination store as processes, with faults between them, and the check of their
 * rollout histories.
 */
package shelffront.lab.faultinjection;

/**
 * Whole fleets in virtual time: gateways, replica sets, endpoint discovery, clients and injected
 * faults in one thread, reproducible from one {@link shelffront.lab.simulation.Scenario}.
 *
 * <p>{@link shelffront.lab.simulation.FleetSimulation} is the entry. Nothing here reads the real
 * clock, opens a socket or starts a thread.
 */
package shelffront.lab.simulation;

/**
 * Simulates entire fleets in virtual time: gateways, replica sets, endpoint discovery, clients and
 * injected faults in one thread, reproducible from one {@link shelffront.lab.simulation.Scenario}.
 *
 * <p>{@link shelffront.lab.simulation.FleetSimulation} is the entry point. This package neither
 * reads the real clock nor opens sockets nor starts threads.
 */
package shelffront.lab.simulation;

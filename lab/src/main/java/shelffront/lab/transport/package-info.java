/**
 * Connections and time for the parties of the lab, behind one interface for real sockets and for
 * the virtual network.
 */
package shelffront.lab.transport;

/**
 * Connections and time for the lab's clients and servers, behind one interface for real sockets and
 * for the virtual network.
 */
package shelffront.lab.transport;

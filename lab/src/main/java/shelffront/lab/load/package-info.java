/**
 * Load on a gateway: open-loop arrivals, client connections, and a transparent proxy to compare
 * against.
 */
package shelffront.lab.load;

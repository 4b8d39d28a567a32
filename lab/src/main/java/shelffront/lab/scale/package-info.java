/** Fleets of many processes: distribution of configuration at size, its costs, and faults in it. */
package shelffront.lab.scale;

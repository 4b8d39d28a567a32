/**
 * Virtual time, machines and connections in memory. Everything runs on one thread in an order that
 * is determined by the seed.
 */
package shelffront.lab.virtual;

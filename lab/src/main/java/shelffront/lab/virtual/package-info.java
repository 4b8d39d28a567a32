/**
 * Time, machines and connections that exist in memory only: everything happens in one thread, in an
 * order that follows from the seed.
 */
package shelffront.lab.virtual;

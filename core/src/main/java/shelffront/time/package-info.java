/** Timers for code that keeps no clock of its own. */
package shelffront.time;

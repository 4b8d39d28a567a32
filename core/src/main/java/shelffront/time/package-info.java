/** Timers and schedules for code that has no clock of its own. */
package shelffront.time;

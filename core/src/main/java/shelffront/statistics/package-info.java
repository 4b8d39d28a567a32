/** Estimates of rates, latencies and limits from individual samples, in constant memory. */
package shelffront.statistics;

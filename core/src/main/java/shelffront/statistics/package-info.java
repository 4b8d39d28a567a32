/** Estimates of rates, latencies and limits from single observations, in constant memory. */
package shelffront.statistics;

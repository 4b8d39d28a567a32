/** Tests and measures the distribution of configuration in fleets of many processes. */
package shelffront.lab.scale;

/**
 * Hosts the decision module on the operators' simulator's wire.
 *
 * <p>Rows become typed events in one place, and actions become rows in one; the words of the wire
 * are known nowhere else.
 */
package shelffront.simulator;

/**
 * The simulator adapter: hosts instances of the decision module on the simulator's line protocol.
 *
 * <p>{@code SimulatorEventDecoder} decodes rows into typed events, and {@code
 * SimulatorActionWriter} encodes actions as rows. No other class depends on the names of the
 * protocol's rows and fields, except for the rows that control the batches and instances in {@code
 * SimulatorAdapter}.
 */
package shelffront.simulator;

/**
 * The coordination store that the gateways of a fleet share, called the engine in settings, log
 * lines and error codes.
 *
 * <p>{@link shelffront.coordination.CoordinationStore} is the interface; {@link
 * shelffront.coordination.ConsulCoordinationStore} has it by Consul's agent. {@link
 * shelffront.coordination.CoordinationException} says what is wrong with the store, and {@link
 * shelffront.coordination.OperatorException} is what all errors have in common that an operator is
 * to see. {@link shelffront.coordination.ValueJson} reads the texts that keys hold.
 */
package shelffront.coordination;

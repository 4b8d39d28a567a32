/**
 * The coordination store that the gateways of a fleet share. It is called the engine in settings,
 * log lines and error codes.
 *
 * <p>{@link shelffront.coordination.CoordinationStore} is the interface, and {@link
 * shelffront.coordination.ConsulCoordinationStore} its implementation on Consul. {@link
 * shelffront.coordination.CoordinationException} describes failures of the store; {@link
 * shelffront.coordination.OperatorException} is the base class of errors that an operator should
 * see. {@link shelffront.coordination.ValueJson} parses the values of keys.
 */
package shelffront.coordination;

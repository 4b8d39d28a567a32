/**
 * Routing decisions. {@link shelffront.decision.RoutingEngine} receives events, {@link
 * shelffront.decision.RoutingState} holds the mutable state, and every rule is a method of a policy
 * over that state; docs/DECISIONS.md lists the rules.
 *
 * <p>This package does no I/O, keeps no clock and starts no thread: the same events produce the
 * same actions. Times, durations and positions are in microseconds.
 */
package shelffront.decision;

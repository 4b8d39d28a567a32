/**
 * The routing decisions. {@link shelffront.decision.RoutingEngine} takes events, {@link
 * shelffront.decision.RoutingState} holds everything that changes, and every rule is a method of a
 * policy over that state; docs/DECISIONS.md lists them.
 *
 * <p>Nothing here does I/O, keeps a clock or starts a thread: the same events give the same
 * actions. Times, durations and positions are microseconds.
 */
package shelffront.decision;

/**
 * The interface between a proxy and its routing decisions: {@link shelffront.routing.Router} takes
 * events, {@link shelffront.routing.RouterActions} carries out what was decided, and records and
 * enums describe endpoints, requests, attempts and settings.
 *
 * <p>Everything here is immutable or an interface. Times, durations and positions are microseconds.
 */
package shelffront.routing;

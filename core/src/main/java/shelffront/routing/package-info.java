/**
 * Interface between a proxy and its routing decisions: {@link shelffront.routing.Router} receives
 * events, {@link shelffront.routing.RouterActions} carries out the resulting actions, and records
 * and enums describe endpoints, requests, attempts and settings.
 *
 * <p>All types are immutable or interfaces. Times, durations and positions are microseconds.
 */
package shelffront.routing;

/**
 * Rollouts of a fleet, on threads: what the rules of {@code core}'s {@code shelffront.rollout} want
 * done is done here at the coordination store.
 *
 * <p>{@link shelffront.rolloutcontrol.RolloutCoordinator} is what the rest of the program calls. It
 * has a {@code LeaseKeeper} for each shard of subjects, a {@code StateWatcher} and a {@code
 * LeadershipLoop}; each runs on a thread of its own and uses {@code RolloutStore}, which knows the
 * keys and their JSON. {@link shelffront.rolloutcontrol.Operation} is what goes on under a stage.
 * {@link shelffront.rolloutcontrol.RolloutException} has the errors, {@link
 * shelffront.rolloutcontrol.RolloutHistory} the record of what was in force.
 *
 * <p>{@code docs/design/stages.md} has the mechanism and what is proved of it.
 */
package shelffront.rolloutcontrol;

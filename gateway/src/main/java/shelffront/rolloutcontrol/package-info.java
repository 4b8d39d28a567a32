/**
 * Runs rollouts against the coordination store. The decisions are made by the state machines in
 * {@code shelffront.rollout} of the core module; this package performs their actions on threads.
 *
 * <p>{@link shelffront.rolloutcontrol.RolloutCoordinator} is the entry point for the rest of the
 * gateway. It has a {@code LeaseManager} for each shard of subjects, a {@code StateWatcher} and a
 * {@code LeadershipLoop}. Each runs on a thread of its own and uses {@code RolloutStore}, which
 * defines the keys and their values. {@link shelffront.rolloutcontrol.Operation} is an operation
 * that runs under a stage. {@link shelffront.rolloutcontrol.RolloutException} lists the errors, and
 * {@link shelffront.rolloutcontrol.RolloutHistory} records which stages were in force.
 *
 * <p>The protocol and its safety argument are described in the package {@code shelffront.rollout}.
 */
package shelffront.rolloutcontrol;

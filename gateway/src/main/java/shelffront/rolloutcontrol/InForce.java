package shelffront.rolloutcontrol;

import shelffront.rollout.RolloutState;

/**
 * The snapshot of what a gateway may act under. Immutable.
 *
 * @param state where the subject stands
 * @param untilMicros when the lease on it expires
 */
record InForce(RolloutState state, long untilMicros) {

  boolean isExpired(long nowMicros) {
    return nowMicros >= untilMicros;
  }
}

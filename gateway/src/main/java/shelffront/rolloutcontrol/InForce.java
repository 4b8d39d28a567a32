package shelffront.rolloutcontrol;

import shelffront.rollout.RolloutState;

/**
 * The rollout state under which a gateway may act, and the expiry of its lease. Immutable.
 *
 * @param state the adopted rollout state of the subject
 * @param untilMicros when the lease expires
 */
record InForce(RolloutState state, long untilMicros) {

  boolean isExpired(long nowMicros) {
    return nowMicros >= untilMicros;
  }
}

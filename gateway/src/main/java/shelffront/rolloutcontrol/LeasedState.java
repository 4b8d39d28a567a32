package shelffront.rolloutcontrol;

import shelffront.rollout.RolloutState;

/**
 * The rollout state under which a gateway may act, and the expiry of its lease. Immutable.
 *
 * @param state the adopted rollout state of the subject
 * @param expiresAtMicros when the lease expires
 */
record LeasedState(RolloutState state, long expiresAtMicros) {

  boolean isExpired(long nowMicros) {
    return nowMicros >= expiresAtMicros;
  }
}

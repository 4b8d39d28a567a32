package shelffront.rolloutcontrol;

import shelffront.rollout.RolloutState;

/**
 * An operation that is open under a stage: until it is closed the gateway acknowledges no later
 * epoch. Any thread may call; closing it more than once does no harm.
 */
public interface Operation extends AutoCloseable {

  /** The state under which it was begun; its epoch is the operation's fencing token. */
  RolloutState state();

  @Override
  void close();
}

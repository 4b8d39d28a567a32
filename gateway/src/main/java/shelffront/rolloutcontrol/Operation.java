package shelffront.rolloutcontrol;

import shelffront.rollout.RolloutState;

/**
 * An operation that runs under a stage. The gateway acknowledges no later epoch until the operation
 * is closed. Thread-safe; closing is idempotent.
 */
public interface Operation extends AutoCloseable {

  /** Returns the state under which the operation began; its epoch is the fencing token. */
  RolloutState state();

  @Override
  void close();
}

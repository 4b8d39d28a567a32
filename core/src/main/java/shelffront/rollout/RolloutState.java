package shelffront.rollout;

/**
 * The rollout state of a subject, as stored in the coordination store.
 *
 * @param epoch the fencing token of operations; starts at 1 and is incremented by each advance
 * @param stage the current stage, as an index into the subject's ordered stages, from 0
 * @param target the requested stage, reached by advancing one stage at a time
 */
public record RolloutState(long epoch, int stage, int target) {

  /** Returns the state one stage closer to the target, or this state if it is at the target. */
  public RolloutState next() {
    return stage == target
        ? this
        : new RolloutState(epoch + 1, stage + Integer.signum(target - stage), target);
  }

  /** Returns a copy with another target. The stage does not change, so the epoch stays. */
  public RolloutState withTarget(int newTarget) {
    return new RolloutState(epoch, stage, newTarget);
  }
}

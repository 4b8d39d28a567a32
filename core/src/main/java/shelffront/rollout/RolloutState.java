package shelffront.rollout;

/**
 * Where a subject stands, as the coordination store keeps it.
 *
 * @param epoch grows by one with each advance, from 1: the fencing token of an operation
 * @param stage the stage in force, by its place in the subject's order, from 0
 * @param target the stage that is wanted; advances lead there one by one
 */
public record RolloutState(long epoch, int stage, int target) {

  /** One stage towards the target, under the next epoch; itself where it is there. */
  public RolloutState next() {
    return stage == target
        ? this
        : new RolloutState(epoch + 1, stage + Integer.signum(target - stage), target);
  }

  /** The same, on its way to another target. No advance by itself, so the epoch stays. */
  public RolloutState withTarget(int newTarget) {
    return new RolloutState(epoch, stage, newTarget);
  }
}

package shelffront.rollout;

/**
 * Where a subject stands.
 *
 * @param epoch grows by one with each move, from 1: the fence that an act carries
 * @param stage the stage in force, by its place in the subject's order, from 0
 * @param target the stage that is wanted; moves go there one by one
 */
public record RolloutState(long epoch, int stage, int target) {

  /** One step towards the target; itself where it is there. */
  public RolloutState next() {
    return stage == target
        ? this
        : new RolloutState(epoch + 1, stage + Integer.signum(target - stage), target);
  }

  /** The same, on its way elsewhere. No move by itself, so the epoch stays. */
  public RolloutState withTarget(int other) {
    return new RolloutState(epoch, stage, other);
  }
}

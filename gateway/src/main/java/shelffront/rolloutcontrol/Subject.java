package shelffront.rolloutcontrol;

import java.util.List;
import shelffront.rollout.RolloutState;

/**
 * One subject as this gateway has it: its stages, the snapshot in force, and the operations that
 * are open under it.
 *
 * <p>Threads: any may read and begin operations, without a lock. The snapshot is written under the
 * lock of its {@link LeaseKeeper}, the blocking members by the {@link LeadershipLoop}.
 */
final class Subject {

  private final String name;
  private final List<String> stages;
  private final OpenOperations openOperations = new OpenOperations();
  private volatile InForce inForce;
  private volatile List<String> blockingMembers = List.of();

  Subject(String name, List<String> stages) {
    this.name = name;
    this.stages = stages;
  }

  String name() {
    return name;
  }

  String stageName(int stage) {
    return stages.get(stage);
  }

  /** The stage's place in the order; -1 where there is none of this name. */
  int stageIndex(String stageName) {
    return stages.indexOf(stageName);
  }

  OpenOperations openOperations() {
    return openOperations;
  }

  /** The last snapshot, which may have expired; null: the safe stage. */
  InForce snapshot() {
    return inForce;
  }

  void setSnapshot(InForce snapshot) {
    inForce = snapshot;
  }

  /** What this gateway may act under at this moment; null: the safe stage. */
  RolloutState stateInForce() {
    InForce snapshot = inForce;
    return snapshot == null || snapshot.isExpired(MonotonicClock.nowMicros())
        ? null
        : snapshot.state();
  }

  /** Begins an operation under what is in force; null: in the safe stage nothing begins. */
  Operation beginOperation() {
    while (true) {
      RolloutState state = stateInForce();
      if (state == null) {
        return null;
      }
      openOperations.enter(state.epoch());
      InForce after = inForce;
      // The stage may have changed in between: its keeper may have looked at what is open before
      // this operation was counted.
      if (after != null && after.state().epoch() == state.epoch()) {
        return new CountedOperation(state);
      }
      openOperations.leave(state.epoch());
    }
  }

  /** The members that block the next advance, known where this gateway leads. */
  List<String> blockingMembers() {
    return blockingMembers;
  }

  void setBlockingMembers(List<String> members) {
    blockingMembers = members;
  }

  private final class CountedOperation implements Operation {

    private final RolloutState state;
    private boolean closed;

    private CountedOperation(RolloutState state) {
      this.state = state;
    }

    @Override
    public RolloutState state() {
      return state;
    }

    @Override
    public synchronized void close() {
      if (!closed) {
        closed = true;
        openOperations.leave(state.epoch());
      }
    }
  }
}

package shelffront.rolloutcontrol;

import java.util.List;
import shelffront.rollout.RolloutState;

/**
 * A subject at this gateway: its stages, the snapshot of the state in force, and the open
 * operations.
 *
 * <p>Threads: any thread may read and begin operations without a lock. The snapshot is written by
 * the {@link LeaseManager} of the subject's shard, under its lock until its thread has ended. The
 * blocking members are written by the {@link LeadershipLoop}.
 */
final class Subject {

  private final String name;
  private final List<String> stages;
  private final OpenOperations openOperations = new OpenOperations();
  private volatile LeasedState leasedState;
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

  /** Returns the index of a stage in the configured order, or -1 if it is unknown. */
  int stageIndex(String stageName) {
    return stages.indexOf(stageName);
  }

  OpenOperations openOperations() {
    return openOperations;
  }

  /** Returns the last snapshot, which may have expired, or null in the safe stage. */
  LeasedState snapshot() {
    return leasedState;
  }

  void setSnapshot(LeasedState snapshot) {
    leasedState = snapshot;
  }

  /** Returns the state in force now, or null in the safe stage. */
  RolloutState stateInForce() {
    LeasedState snapshot = leasedState;
    return snapshot == null || snapshot.isExpired(MonotonicClock.nowMicros())
        ? null
        : snapshot.state();
  }

  /** Begins an operation under the state in force; returns null in the safe stage. */
  Operation beginOperation() {
    while (true) {
      RolloutState state = stateInForce();
      if (state == null) {
        return null;
      }
      openOperations.begin(state.epoch());
      LeasedState after = leasedState;
      // If the state changed in between, the open operations may have been checked, and the new
      // epoch acknowledged, before this operation was counted. Only an unchanged epoch excludes
      // that, because each change is published before that check.
      if (after != null && after.state().epoch() == state.epoch()) {
        return new CountedOperation(state);
      }
      openOperations.end(state.epoch());
    }
  }

  /** Returns the members that block the next advance; empty unless this gateway leads. */
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
        openOperations.end(state.epoch());
      }
    }
  }
}

package shelffront.rolloutcontrol;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import shelffront.coordination.CoordinationException;
import shelffront.net.EventLog;
import shelffront.rollout.LeaseTimings;
import shelffront.rollout.RolloutLeader;
import shelffront.rollout.RolloutState;

/**
 * Campaigns to become the rollout leader of the fleet, and advances the subjects while it leads.
 *
 * <p>The leader renews a key in the coordination store; a gateway that reads the key unchanged for
 * long enough takes it over. A single leader only reduces the load on the coordination store. The
 * safety of rollouts is ensured by {@link RolloutLeader} and does not depend on it.
 *
 * <p>Threads: {@link #run} has a thread of its own, which alone modifies this object's state. Other
 * threads call {@link #isLeader} and {@link #wake}.
 */
final class LeadershipLoop implements Runnable {

  private static final String ERROR_SOURCE = "leadership";

  /** A leader key unchanged for this multiple of the suspicion timeout is taken over. */
  private static final int TAKEOVER_FACTOR = 2;

  /** Maximum interval between reads while a subject has not reached its target. */
  private static final long MAX_POLL_MICROS = 100_000;

  /** Reads per renewal interval while a subject has not reached its target. */
  private static final int POLLS_PER_RENEWAL = 4;

  private static final long MICROS_PER_MILLI = 1000;

  private final Collection<Subject> subjects;
  private final LeaseTimings timings;
  private final RolloutStore store;
  private final WorkerThreads threads;
  private final ErrorReporter errors;
  private final RolloutHistory history;
  private final EventLog log;
  private final WakeUpSignal wakeUpSignal = new WakeUpSignal();
  private final Map<Subject, RolloutLeader> leaders = new HashMap<>();
  private long leaderKeyIndex;
  private long leaderKeySinceMicros;
  private long heartbeat;
  private volatile boolean isLeader;

  LeadershipLoop(
      Collection<Subject> subjects,
      LeaseTimings timings,
      RolloutStore store,
      WorkerThreads threads,
      ErrorReporter errors,
      RolloutHistory history,
      EventLog log) {
    this.subjects = subjects;
    this.timings = timings;
    this.store = store;
    this.threads = threads;
    this.errors = errors;
    this.history = history;
    this.log = log;
  }

  /** Returns whether this gateway was the leader at its last check; it may have been replaced. */
  boolean isLeader() {
    return isLeader;
  }

  /** Makes the thread process its subjects now, or once more if it is processing them. */
  void wake() {
    wakeUpSignal.give();
  }

  @Override
  public void run() {
    leaderKeySinceMicros = MonotonicClock.nowMicros();
    while (!threads.isClosed()) {
      long wakeAtMicros = MonotonicClock.nowMicros() + timings.renewIntervalMicros();
      try {
        renewOrTakeOver();
        if (isLeader) {
          for (Subject subject : subjects) {
            wakeAtMicros = Math.min(wakeAtMicros, process(subject));
          }
        }
        errors.clear(ERROR_SOURCE);
      } catch (CoordinationException e) {
        errors.report(ERROR_SOURCE, e);
      }
      threads.pause(wakeUpSignal, wakeAtMicros);
    }
  }

  private void renewOrTakeOver() throws CoordinationException {
    RolloutStore.LeaderKey key = store.readLeader();
    if (key.index() != leaderKeyIndex) {
      leaderKeyIndex = key.index();
      leaderKeySinceMicros = MonotonicClock.nowMicros();
    }
    boolean wasLeader = isLeader;
    isLeader = (key.isOwn() || isAbsentOrStale(key)) && store.writeLeader(key.index(), ++heartbeat);
    if (isLeader != wasLeader) {
      log.println(
          "rollout leadership: instance "
              + store.instance()
              + (isLeader ? " is now the leader" : " is no longer the leader"));
      leaders.clear(); // observations from an earlier leadership do not cover the time in between
      subjects.forEach(subject -> subject.setBlockingMembers(List.of()));
    }
  }

  private boolean isAbsentOrStale(RolloutStore.LeaderKey key) {
    long unchangedMicros = MonotonicClock.nowMicros() - leaderKeySinceMicros;
    return key.index() == 0 || unchangedMicros > TAKEOVER_FACTOR * timings.suspectAfterMicros();
  }

  /** Reads a subject, performs the actions that are due, and returns when to read it again. */
  private long process(Subject subject) throws CoordinationException {
    Optional<RolloutStore.VersionedState> read = store.readState(subject);
    if (read.isEmpty()) {
      store.writeState(subject, 0, RolloutCoordinator.FIRST_STATE);
      return MonotonicClock.nowMicros();
    }
    // Members must be read after the state; see RolloutLeader.onRead.
    Map<String, RolloutLeader.VersionedMember> members = store.readMembers(subject);
    RolloutState state = read.get().state();
    RolloutLeader leader =
        leaders
            .getOrDefault(subject, RolloutLeader.initial(timings))
            .onRead(MonotonicClock.nowMicros(), state, read.get().index(), members);
    leaders.put(subject, leader.withoutActions());
    subject.setBlockingMembers(
        leader.blockingMembers().stream()
            .map(memberKey -> store.memberName(subject, memberKey))
            .toList());
    for (RolloutLeader.Action action : leader.actions()) {
      perform(subject, action);
    }
    return state.stage() == state.target() ? leader.nextReadAtMicros() : nextPollMicros();
  }

  private long nextPollMicros() {
    long pollMicros = Math.min(timings.renewIntervalMicros() / POLLS_PER_RENEWAL, MAX_POLL_MICROS);
    return MonotonicClock.nowMicros() + pollMicros;
  }

  private void perform(Subject subject, RolloutLeader.Action action) throws CoordinationException {
    if (action instanceof RolloutLeader.Advance advance) {
      advance(subject, advance);
    } else if (action instanceof RolloutLeader.Revoke revoke) {
      revoke(revoke);
    } else if (action instanceof RolloutLeader.RemoveMember remove) {
      store.removeMember(remove.memberKey(), remove.expectedIndex());
    }
  }

  private void advance(Subject subject, RolloutLeader.Advance advance)
      throws CoordinationException {
    RolloutState newState = advance.newState();
    if (store.writeState(subject, advance.expectedIndex(), newState)) {
      history.recordAdvance(store.instance(), subject.name(), newState, MonotonicClock.nowMicros());
      log.println(
          "rollout "
              + subject.name()
              + ": advanced to stage "
              + subject.stageName(newState.stage())
              + ", epoch "
              + newState.epoch());
    }
  }

  private void revoke(RolloutLeader.Revoke revoke) throws CoordinationException {
    if (store.revoke(revoke.memberKey(), revoke.expectedIndex(), revoke.revoked())) {
      log.println(
          "rollout leadership: revoked member "
              + revoke.memberKey()
              + " because it stopped renewing its lease; the lease may remain valid for up to "
              + timings.leaseExpiryBoundMicros() / MICROS_PER_MILLI
              + " ms");
    }
  }
}

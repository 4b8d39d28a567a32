package shelffront.rolloutcontrol;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import shelffront.coordination.CoordinationException;
import shelffront.net.EventLog;
import shelffront.rollout.LeaseHolder;
import shelffront.rollout.LeaseTimings;
import shelffront.rollout.RolloutLeader.VersionedMember;
import shelffront.rollout.RolloutState;

/**
 * Maintains the leases of one shard of subjects. It sends the requests of each subject's {@link
 * LeaseHolder} to the coordination store, and publishes the state in force.
 *
 * <p>Invariants: each subject has at most one write or read of its member key in flight. The
 * snapshot of a subject is published before its open operations are counted, and after each change
 * of its holder.
 *
 * <p>Threads: {@link #run} has a thread of its own; {@link StateWatcher} calls {@link #readStates}
 * and {@link #wake} from another. The holders are guarded by this object's lock, which is never
 * held during a call of the coordination store.
 */
final class LeaseManager implements Runnable {

  private final List<Subject> subjects;
  private final LeaseTimings timings;
  private final RolloutStore store;
  private final WorkerThreads threads;
  private final ErrorReporter errors;
  private final RolloutHistory history;
  private final EventLog log;
  private final WakeUpSignal wakeUpSignal = new WakeUpSignal();
  private final Map<Subject, LeaseHolder> holders = new HashMap<>();

  LeaseManager(
      List<Subject> subjects,
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
    subjects.forEach(subject -> holders.put(subject, LeaseHolder.notJoined(timings)));
  }

  boolean isEmpty() {
    return subjects.isEmpty();
  }

  @Override
  public void run() {
    while (!threads.isClosed()) {
      long wakeAtMicros = MonotonicClock.nowMicros() + timings.renewIntervalMicros();
      for (Subject subject : subjects) {
        wakeAtMicros = process(subject, wakeAtMicros);
      }
      threads.pause(wakeUpSignal, wakeAtMicros);
    }
  }

  /** Performs all due actions of a subject and returns when to process it next, capped as given. */
  private long process(Subject subject, long latestWakeMicros) {
    long wakeAtMicros = latestWakeMicros;
    try {
      boolean mayHaveMoreActions = true;
      while (mayHaveMoreActions && !threads.isClosed()) {
        mayHaveMoreActions = performNextAction(subject);
        if (mayHaveMoreActions) {
          errors.clear(subject.name());
        }
      }
    } catch (CoordinationException e) {
      errors.report(subject.name(), e);
      wakeAtMicros = MonotonicClock.nowMicros() + timings.retryIntervalMicros();
    }
    synchronized (this) {
      publish(subject);
      LeaseHolder holder = holders.get(subject);
      long holderWakeMicros =
          holder.waitsForOpenOperations()
              ? MonotonicClock.nowMicros()
              : holder.nextActionAtMicros();
      return Math.min(wakeAtMicros, holderWakeMicros);
    }
  }

  /** Performs the next action of the subject's holder; returns false if none is due. */
  private boolean performNextAction(Subject subject) throws CoordinationException {
    LeaseHolder.Action action;
    String memberKey;
    long sentAtMicros = MonotonicClock.nowMicros();
    synchronized (this) {
      // Publish before counting the open operations; see Subject.beginOperation.
      publish(subject);
      LeaseHolder holder = holders.get(subject);
      action = holder.nextAction(sentAtMicros, subject.openOperations().oldestEpoch());
      memberKey = store.ownMemberKey(subject, holder.term());
    }
    if (action == null) {
      return false;
    }
    if (action instanceof LeaseHolder.Write write) {
      writeOwnMember(subject, memberKey, write, sentAtMicros);
    } else {
      readOwnMember(subject, memberKey);
    }
    readState(subject);
    return true;
  }

  private void readOwnMember(Subject subject, String memberKey) throws CoordinationException {
    Optional<VersionedMember> read = store.readMember(memberKey);
    synchronized (this) {
      LeaseHolder next =
          holders
              .get(subject)
              .onOwnKeyRead(
                  MonotonicClock.nowMicros(),
                  read.map(VersionedMember::member).orElse(null),
                  read.map(VersionedMember::index).orElse(0L));
      update(subject, next);
    }
  }

  private void writeOwnMember(
      Subject subject, String memberKey, LeaseHolder.Write write, long sentAtMicros)
      throws CoordinationException {
    OptionalLong newIndex = OptionalLong.empty();
    try {
      newIndex = store.writeOwnMember(memberKey, write, sentAtMicros);
    } finally {
      // If the call failed, the outcome of the write is unknown.
      synchronized (this) {
        LeaseHolder holder = holders.get(subject);
        long nowMicros = MonotonicClock.nowMicros();
        update(
            subject,
            newIndex.isPresent()
                ? holder.onWriteResponse(sentAtMicros, nowMicros, write, true, newIndex.getAsLong())
                : holder.onWriteOutcomeUnknown(nowMicros));
      }
    }
  }

  /** Reads the rollout states of all subjects of the shard and adopts them. */
  void readStates() throws CoordinationException {
    for (Subject subject : subjects) {
      readState(subject);
    }
  }

  /** Reads the rollout state of a subject and adopts it, if this gateway is a member. */
  private void readState(Subject subject) throws CoordinationException {
    int term;
    synchronized (this) {
      LeaseHolder holder = holders.get(subject);
      if (!holder.isMember()) {
        return;
      }
      term = holder.term();
    }
    Optional<RolloutStore.VersionedState> read = store.readState(subject);
    if (read.isPresent()) {
      synchronized (this) {
        update(subject, holders.get(subject).onStateRead(term, read.get().state()));
      }
    }
  }

  /** Makes the thread process its subjects now, or once more if it is processing them. */
  void wake() {
    wakeUpSignal.give();
  }

  /** Replaces the holder and publishes its state; the caller holds the lock. */
  private void update(Subject subject, LeaseHolder next) {
    holders.put(subject, next);
    publish(subject);
  }

  /** Publishes the holder's state in force as the snapshot; the caller holds the lock. */
  private void publish(Subject subject) {
    long nowMicros = MonotonicClock.nowMicros();
    LeaseHolder holder = holders.get(subject);
    RolloutState state = holder.inForce(nowMicros);
    LeasedState next = state == null ? null : new LeasedState(state, holder.leaseExpiresAtMicros());
    LeasedState before = subject.snapshot();
    if (Objects.equals(next, before)) {
      return;
    }
    subject.setSnapshot(next);
    long untilMicros = next == null ? nowMicros : next.expiresAtMicros();
    history.recordInForce(store.instance(), subject.name(), state, untilMicros, nowMicros);
    if (next == null || before == null || !state.equals(before.state())) {
      logInForce(subject, state);
    }
  }

  private void logInForce(Subject subject, RolloutState state) {
    String stage =
        state == null
            ? "safe stage in force"
            : "stage " + subject.stageName(state.stage()) + " in force, epoch " + state.epoch();
    log.println("rollout " + subject.name() + ": " + stage);
  }

  /**
   * Returns all subjects to the safe stage; called after the thread has ended. Memberships without
   * open operations are removed, so that no advance waits for them. The others expire.
   */
  void releaseAll() {
    for (Subject subject : subjects) {
      subject.setSnapshot(null);
      LeaseHolder holder = holders.get(subject);
      boolean hasNoOpenOperations = subject.openOperations().oldestEpoch() == OpenOperations.NONE;
      if (hasNoOpenOperations && holder.isMember()) {
        removeOwnMember(subject, holder);
      }
      history.recordInForce(store.instance(), subject.name(), null, 0, MonotonicClock.nowMicros());
    }
  }

  private void removeOwnMember(Subject subject, LeaseHolder holder) {
    try {
      store.removeMember(store.ownMemberKey(subject, holder.term()), holder.keyIndex());
    } catch (CoordinationException e) {
      errors.report(subject.name(), e);
    }
  }
}

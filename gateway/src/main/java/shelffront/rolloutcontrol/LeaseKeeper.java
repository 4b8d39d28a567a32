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
 * Keeps the leases of one shard of subjects: does what each subject's {@link LeaseHolder} wants
 * done at the coordination store, and publishes what is in force.
 *
 * <p>Invariants: a subject has one write or read of its own key out at a time. Its snapshot is
 * published before its open operations are looked at, and after each change of its holder.
 *
 * <p>Threads: {@link #run} has one of its own; the watcher calls {@link #readStates} and {@link
 * #wake} from another. Holders are guarded by this object's lock, which is never held during a call
 * of the store.
 */
final class LeaseKeeper implements Runnable {

  private final List<Subject> subjects;
  private final LeaseTimings timings;
  private final RolloutStore store;
  private final WorkerThreads threads;
  private final ErrorReporter errors;
  private final RolloutHistory history;
  private final EventLog log;
  private final Map<Subject, LeaseHolder> holders = new HashMap<>();

  LeaseKeeper(
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
    subjects.forEach(subject -> holders.put(subject, LeaseHolder.absent(timings)));
  }

  boolean isEmpty() {
    return subjects.isEmpty();
  }

  @Override
  public void run() {
    while (!threads.isClosed()) {
      long wakeAtMicros = MonotonicClock.nowMicros() + timings.renewIntervalMicros();
      for (Subject subject : subjects) {
        wakeAtMicros = keep(subject, wakeAtMicros);
      }
      synchronized (this) {
        threads.pause(this, wakeAtMicros);
      }
    }
  }

  /** Does all that is due for a subject; gives when to look again, by this time at the latest. */
  private long keep(Subject subject, long latestMicros) {
    long wakeAtMicros = latestMicros;
    try {
      boolean mayWantMore = true;
      while (mayWantMore && !threads.isClosed()) {
        mayWantMore = performNextAction(subject);
        if (mayWantMore) {
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
          holder.waitsForOpenOperations() ? MonotonicClock.nowMicros() : holder.wakeAt();
      return Math.min(wakeAtMicros, holderWakeMicros);
    }
  }

  /** Does what the subject's holder wants; false where it wants nothing now. */
  private boolean performNextAction(Subject subject) throws CoordinationException {
    LeaseHolder.Action action;
    String memberKey;
    long sentAtMicros = MonotonicClock.nowMicros();
    synchronized (this) {
      // Before what is open is looked at: see Subject.beginOperation.
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
      // Also where the call failed: what became of the write is not known then.
      synchronized (this) {
        LeaseHolder holder = holders.get(subject);
        long nowMicros = MonotonicClock.nowMicros();
        update(
            subject,
            newIndex.isPresent()
                ? holder.onWriteAnswered(sentAtMicros, nowMicros, write, true, newIndex.getAsLong())
                : holder.onWriteUnknown(nowMicros));
      }
    }
  }

  /** Reads where all subjects stand, and takes it up. */
  void readStates() throws CoordinationException {
    for (Subject subject : subjects) {
      readState(subject);
    }
  }

  /** Reads where a subject stands, as a member, and takes it up. */
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

  /** Has the thread look at its subjects at once. */
  synchronized void wake() {
    notifyAll();
  }

  /** Under the lock. */
  private void update(Subject subject, LeaseHolder next) {
    holders.put(subject, next);
    publish(subject);
  }

  /** Makes what the holder has in force the snapshot; under the lock. */
  private void publish(Subject subject) {
    long nowMicros = MonotonicClock.nowMicros();
    LeaseHolder holder = holders.get(subject);
    RolloutState state = holder.inForce(nowMicros);
    InForce next = state == null ? null : new InForce(state, holder.leaseUntil());
    InForce before = subject.snapshot();
    if (Objects.equals(next, before)) {
      return;
    }
    subject.setSnapshot(next);
    long untilMicros = next == null ? nowMicros : next.untilMicros();
    history.recordInForce(store.instance(), subject.name(), state, untilMicros, nowMicros);
    if (next == null || before == null || !state.equals(before.state())) {
      logInForce(subject, state);
    }
  }

  private void logInForce(Subject subject, RolloutState state) {
    String stage =
        state == null
            ? "the safe one"
            : subject.stageName(state.stage()) + ", epoch " + state.epoch();
    log.println("stage of " + subject.name() + " is " + stage);
  }

  /**
   * Ends what is in force, once its thread has ended. Removes the memberships under which nothing
   * is open, so that no advance waits for them; others expire.
   */
  void leave() {
    for (Subject subject : subjects) {
      subject.setSnapshot(null);
      LeaseHolder holder = holders.get(subject);
      boolean isQuiet = subject.openOperations().oldestEpoch() == OpenOperations.NONE;
      if (isQuiet && holder.isMember()) {
        removeOwnMember(subject, holder);
      }
      history.recordInForce(store.instance(), subject.name(), null, 0, MonotonicClock.nowMicros());
    }
  }

  private void removeOwnMember(Subject subject, LeaseHolder holder) {
    try {
      store.removeMember(store.ownMemberKey(subject, holder.term()), holder.index());
    } catch (CoordinationException e) {
      errors.report(subject.name(), e);
    }
  }
}

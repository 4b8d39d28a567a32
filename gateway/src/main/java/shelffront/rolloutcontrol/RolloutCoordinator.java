package shelffront.rolloutcontrol;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import shelffront.coordination.CoordinationException;
import shelffront.coordination.CoordinationStore;
import shelffront.net.EventLog;
import shelffront.rollout.LeaseTimings;
import shelffront.rollout.RolloutState;
import shelffront.rolloutcontrol.RolloutException.Contended;
import shelffront.rolloutcontrol.RolloutException.UnknownStage;
import shelffront.rolloutcontrol.RolloutException.UnknownSubject;

/**
 * A gateway's part in the rollouts of its fleet: what other parts of the program and the
 * administration call. It owns the subjects and the threads that work on them.
 *
 * <p>Invariant: what is in force here is in force under a lease; without one a subject is in the
 * safe stage, in which nothing begins.
 *
 * <p>Threads: one for each shard of subjects ({@link LeaseKeeper}), one that watches where subjects
 * stand ({@link StateWatcher}), and one that tries to lead ({@link LeadershipLoop}). Whoever acts
 * reads a snapshot without a lock: {@link #inForce}, or {@link #beginOperation} where the operation
 * takes time. Calls of the administration block for a bounded time.
 */
public final class RolloutCoordinator implements AutoCloseable {

  /** Where a subject stands that has no state in the store yet. */
  static final RolloutState FIRST_STATE = new RolloutState(1, 0, 0);

  /** What is shown of a subject that has no state in the store yet. */
  private static final RolloutState NO_STATE = new RolloutState(0, 0, 0);

  private final Map<String, Subject> subjects = new HashMap<>();
  private final List<LeaseKeeper> keepers = new ArrayList<>();
  private final RolloutStore store;
  private final RolloutHistory history;
  private final WorkerThreads threads;
  private final LeadershipLoop leadership;
  private final StateWatcher watcher;

  /**
   * Connects to nothing before {@link #start}.
   *
   * @param coordinationStore is closed with this
   * @param instance of this process: a gateway that starts again is another one, whose leases
   *     nobody remembers
   */
  public RolloutCoordinator(
      RolloutConfig config,
      CoordinationStore coordinationStore,
      String instance,
      RolloutHistory history,
      EventLog log) {
    store =
        new RolloutStore(coordinationStore, config.fleet(), config.gatewayName() + "-" + instance);
    this.history = history;
    LeaseTimings timings = config.leaseTimings();
    threads = new WorkerThreads(log);
    ErrorReporter errors = new ErrorReporter(log);
    for (List<Subject> shard : shards(config)) {
      keepers.add(new LeaseKeeper(shard, timings, store, threads, errors, history, log));
    }
    leadership =
        new LeadershipLoop(subjects.values(), timings, store, threads, errors, history, log);
    watcher = new StateWatcher(keepers, leadership, timings, store, threads, errors);
  }

  /** Spreads the subjects over the shards; some may stay empty. */
  private List<List<Subject>> shards(RolloutConfig config) {
    List<List<Subject>> shards = new ArrayList<>();
    for (int i = 0; i < config.shards(); i++) {
      shards.add(new ArrayList<>());
    }
    config
        .stagesBySubject()
        .forEach(
            (name, stages) -> {
              Subject subject = new Subject(name, stages);
              subjects.put(name, subject);
              shards.get(Math.floorMod(name.hashCode(), shards.size())).add(subject);
            });
    return shards;
  }

  /** Starts its threads, and with them the membership of this gateway. */
  public void start() {
    for (int i = 0; i < keepers.size(); i++) {
      if (!keepers.get(i).isEmpty()) {
        threads.start("stages-" + i, keepers.get(i));
      }
    }
    threads.start("stages-watch", watcher);
    threads.start("stages-owner", leadership);
  }

  private Subject subject(String name) throws UnknownSubject {
    Subject subject = subjects.get(name);
    if (subject == null) {
      throw new UnknownSubject(name);
    }
    return subject;
  }

  /** What this gateway may act under at this moment; null: the safe stage. Waits for nothing. */
  public RolloutState inForce(String subjectName) throws UnknownSubject {
    return subject(subjectName).stateInForce();
  }

  /**
   * Begins an operation under what is in force; null: in the safe stage nothing begins. Waits for
   * nothing.
   */
  public Operation beginOperation(String subjectName) throws UnknownSubject {
    return subject(subjectName).beginOperation();
  }

  /**
   * Where a subject stands.
   *
   * @param stageInForceHere null: the safe stage
   * @param isLeader whether this gateway leads the fleet's rollouts
   * @param blockingMembers where it leads, the members that hold up the next advance
   */
  public record SubjectStatus(
      String subject,
      String stage,
      String target,
      long epoch,
      String stageInForceHere,
      boolean isLeader,
      List<String> blockingMembers) {}

  /** Where all subjects stand, by name, or the one that is named; null: all. */
  public List<SubjectStatus> status(String subjectName)
      throws RolloutException, CoordinationException {
    Collection<Subject> wanted =
        subjectName == null ? new TreeMap<>(subjects).values() : List.of(subject(subjectName));
    List<SubjectStatus> statuses = new ArrayList<>();
    for (Subject subject : wanted) {
      statuses.add(status(subject));
    }
    return statuses;
  }

  private SubjectStatus status(Subject subject) throws CoordinationException {
    RolloutState state =
        store.readState(subject).map(RolloutStore.VersionedState::state).orElse(NO_STATE);
    RolloutState here = subject.stateInForce();
    return new SubjectStatus(
        subject.name(),
        subject.stageName(state.stage()),
        subject.stageName(state.target()),
        state.epoch(),
        here == null ? null : subject.stageName(here.stage()),
        leadership.leads(),
        subject.blockingMembers());
  }

  /**
   * Asks that a subject go to a stage, one after another.
   *
   * @return where it stands now
   * @throws Contended where another changed the subject in the same moment; nothing was changed
   */
  public RolloutState requestStage(String subjectName, String stageName)
      throws RolloutException, CoordinationException {
    Subject subject = subject(subjectName);
    int target = subject.stageIndex(stageName);
    if (target < 0) {
      throw new UnknownStage(subjectName, stageName);
    }
    Optional<RolloutStore.VersionedState> read = store.readState(subject);
    RolloutState state = read.map(RolloutStore.VersionedState::state).orElse(FIRST_STATE);
    long index = read.map(RolloutStore.VersionedState::index).orElse(0L);
    RolloutState next = state.withTarget(target);
    if (!store.writeState(subject, index, next)) {
      throw new Contended(subjectName);
    }
    return next;
  }

  /** Ends its threads, then what it has in force. */
  @Override
  public void close() {
    threads.close();
    keepers.forEach(LeaseKeeper::leave);
    store.close();
    history.close();
  }
}

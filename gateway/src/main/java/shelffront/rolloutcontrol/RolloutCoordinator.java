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
 * The entry point to rollouts for the rest of the gateway and for the administration API. It owns
 * the subjects and the threads that process them.
 *
 * <p>Invariant: a stage is in force only under a lease. Without a lease a subject is in the safe
 * stage, in which no operation begins.
 *
 * <p>Threads: one for each shard of subjects ({@link LeaseManager}), one that watches rollout
 * states ({@link StateWatcher}), and one that campaigns for leadership ({@link LeadershipLoop}).
 * {@link #stateInForce} and {@link #beginOperation} read a snapshot without a lock; use the latter
 * for an operation that takes time. {@link #status} and {@link #requestStage} call the coordination
 * store and block for a bounded time.
 */
public final class RolloutCoordinator implements AutoCloseable {

  /** The state that the leader writes for a subject without a state in the store. */
  static final RolloutState FIRST_STATE = new RolloutState(1, 0, 0);

  /** The state reported for a subject without a state in the store. */
  private static final RolloutState NO_STATE = new RolloutState(0, 0, 0);

  private final Map<String, Subject> subjects = new HashMap<>();
  private final List<LeaseManager> leaseManagers = new ArrayList<>();
  private final RolloutStore store;
  private final RolloutHistory history;
  private final WorkerThreads threads;
  private final LeadershipLoop leadership;
  private final StateWatcher watcher;

  /**
   * Creates a coordinator that sends no request before {@link #start}.
   *
   * @param coordinationStore closed together with this coordinator
   * @param instance identifies this process; a restarted gateway must use another value, because it
   *     has lost the state of its earlier leases
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
      leaseManagers.add(new LeaseManager(shard, timings, store, threads, errors, history, log));
    }
    leadership =
        new LeadershipLoop(subjects.values(), timings, store, threads, errors, history, log);
    watcher = new StateWatcher(leaseManagers, leadership, timings, store, threads, errors);
  }

  /** Distributes the subjects over the shards by hash; a shard may be empty. */
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

  /** Starts the threads; this gateway then joins as a member of each subject. */
  public void start() {
    for (int i = 0; i < leaseManagers.size(); i++) {
      if (!leaseManagers.get(i).isEmpty()) {
        threads.start("stages-" + i, leaseManagers.get(i));
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

  /** Returns the state in force, or null in the safe stage. Does not block. */
  public RolloutState stateInForce(String subjectName) throws UnknownSubject {
    return subject(subjectName).stateInForce();
  }

  /** Begins an operation under the state in force; null in the safe stage. Does not block. */
  public Operation beginOperation(String subjectName) throws UnknownSubject {
    return subject(subjectName).beginOperation();
  }

  /**
   * The status of a subject.
   *
   * @param stageInForceHere the stage in force at this gateway, or null for the safe stage
   * @param isLeader whether this gateway is the rollout leader
   * @param blockingMembers the members that block the next advance; empty unless this gateway leads
   */
  public record SubjectStatus(
      String subject,
      String stage,
      String target,
      long epoch,
      String stageInForceHere,
      boolean isLeader,
      List<String> blockingMembers) {}

  /** Returns the status of the named subject, or of all subjects by name if the name is null. */
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
        leadership.isLeader(),
        subject.blockingMembers());
  }

  /**
   * Sets the target stage of a subject. The leader then advances the subject one stage at a time.
   *
   * @return the new state
   * @throws Contended if the subject was modified concurrently; nothing was changed
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

  /** Stops the threads, then returns all subjects to the safe stage. */
  @Override
  public void close() {
    threads.close();
    leaseManagers.forEach(LeaseManager::releaseAll);
    store.close();
    history.close();
  }
}

package shelffront.lab.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ContinuousSampler;
import org.apache.commons.rng.sampling.distribution.LogNormalSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/**
 * Models one replica set: a primary whose log reaches the replicas with a delay, replicas that
 * apply it with one thread each, hosts with cores, a bounded queue and a warm-up period, elections,
 * hand-overs, and hosts that restart with stale data. Keeps the authoritative record of all
 * effects. Does no I/O: the caller submits requests and receives responses, in real or virtual
 * time. Not thread-safe; all calls come from the thread of the {@link Clock}.
 */
public final class ReplicaSetModel {

  /** The outcome of a request at a host. */
  public enum AnswerKind {
    /** Executed. */
    OK,
    /** Not executed: the host is not primary, or its position is too old for the read. */
    MISS,
    /** Not executed: no capacity, draining, or past the deadline. */
    FULL,
    /** Failed during execution. */
    ERROR
  }

  /**
   * A request as a host sees it.
   *
   * @param maxStalenessMicros maximum staleness of a read; 0 if the session position applies
   *     instead
   */
  public record Query(
      String id,
      String key,
      String session,
      boolean write,
      boolean strong,
      long maxStalenessMicros,
      long deadlineMicros) {}

  /**
   * The response to a request.
   *
   * @param positionMicros commit position of a write; otherwise the position of the host
   */
  public record Answer(AnswerKind kind, boolean primary, long positionMicros) {}

  /** A write that took effect. */
  public record Effect(String key, String requestId, long commitMicros, String host) {}

  /** Is notified of the actual events in the replica set. */
  public interface Observer {

    /** A host has started to execute a request, which may have an effect from now on. */
    void executionStarted(Host host, Query query);

    /**
     * A write has been executed.
     *
     * @param repeated whether the write was recognized as a duplicate of {@code effect}
     */
    void applied(Host host, Effect effect, Query query, boolean repeated);

    /** A read was served by a host whose data was at {@code position}. */
    void readServed(Host host, Query query, long position);

    /** A host that warms up received more work than its overload limit permits. */
    void overloaded(Host host);

    /**
     * The primary has changed.
     *
     * @param host the new primary, or null if there is none
     * @param before the previous primary, or null if there was none
     * @param lost effects whose log entries were discarded with the previous primary
     */
    void primaryChanged(Host host, Host before, List<Effect> lost);
  }

  private record LogEntry(long commitMicros, String session, Effect effect) {}

  private record QueuedRequest(
      Query query,
      Consumer<Answer> answer,
      long workMicros,
      int incarnation,
      long arrivedAtMicros) {}

  private record WorkArrival(long atMicros, double workMicros) {}

  /** A host of the replica set. */
  public final class Host {

    private final String id;
    private boolean up;
    private boolean draining;
    private long startedAtMicros; // 0: fully warmed up since the start of the model
    private int busyCores;
    private int incarnation; // incremented when the process ends; discards its pending work
    private final ArrayDeque<QueuedRequest> queue = new ArrayDeque<>();
    private int nextEntryIndex; // index into the log of the next entry to apply
    private long applierFreeAtMicros; // when the previous entry has been applied
    private long slowUntilMicros;
    private double slowdown = 1;
    private final ArrayDeque<WorkArrival> recentWork = new ArrayDeque<>();
    private boolean overloaded;

    private Host(String id) {
      this.id = id;
      up = true;
    }

    public String id() {
      return id;
    }

    public boolean isUp() {
      return up;
    }

    public boolean isPrimary() {
      return primary == this;
    }

    public boolean isDraining() {
      return draining;
    }

    /** Start time of the process, or 0 if it was running before the model began. */
    public long startedAtMicros() {
      return startedAtMicros;
    }

    /** Returns the number of queued requests. */
    public int queued() {
      return queue.size();
    }

    /** Returns the current capacity as a fraction of the full capacity. */
    public double capacityFraction() {
      long age = clock.nowMicros() - startedAtMicros;
      return startedAtMicros == 0 || age >= parameters.coldTime()
          ? 1
          : parameters.coldFrom() + (1 - parameters.coldFrom()) * age / parameters.coldTime();
    }

    /** Returns the time up to which the host has applied all commits. */
    public long positionMicros() {
      return isPrimary() ? clock.nowMicros() : appliedPosition(clock.nowMicros());
    }

    private long appliedPosition(long now) {
      while (nextEntryIndex < log.size()) {
        long arrived = log.get(nextEntryIndex).commitMicros() + parameters.shipDelay();
        long done =
            Math.max(arrived, applierFreeAtMicros)
                + (long) (parameters.applyCost() * (now < slowUntilMicros ? slowdown : 1));
        if (done > now) {
          break;
        }
        applierFreeAtMicros = done;
        nextEntryIndex++;
      }
      long shipped = now - parameters.shipDelay();
      return nextEntryIndex < log.size()
          ? Math.min(shipped, log.get(nextEntryIndex).commitMicros() - 1)
          : shipped;
    }

    /**
     * Multiplies the duration of work and of log application by {@code factor} for {@code time}.
     */
    public void slowDown(double factor, long time) {
      slowdown = factor;
      slowUntilMicros = clock.nowMicros() + time;
    }

    /** Starts no requests for {@code time}; requests in execution continue. */
    public void pause(long time) {
      occupy(parameters.cores(), time);
    }

    /**
     * Submits a request. The response is passed to {@code answer}, at once or later, unless the
     * process is down or ends first.
     */
    public void submit(Query query, Consumer<Answer> answer) {
      long work = drawWorkMicros(query.write());
      recordWork(work);
      if (!up) {
        return;
      }
      if (draining || query.deadlineMicros() <= clock.nowMicros()) {
        reply(answer, AnswerKind.FULL);
      } else if (!isPrimary()
          && (query.write()
              || query.strong() && parameters.check() != ReplicaSetParameters.Check.SILENT)) {
        reply(answer, AnswerKind.MISS);
      } else if (busyCores >= parameters.cores() && queue.size() >= parameters.room()) {
        reply(answer, AnswerKind.FULL);
      } else {
        queue.add(new QueuedRequest(query, answer, work, incarnation, clock.nowMicros()));
        startQueued();
      }
    }

    /** Charges the core time of a new connection. */
    public void handshake() {
      recordWork(parameters.handshake());
      occupy(1, parameters.handshake());
    }

    private void occupy(int cores, long time) {
      busyCores += cores;
      int startIncarnation = incarnation;
      clock.after(
          time,
          () -> {
            if (startIncarnation == incarnation) {
              busyCores -= cores;
              startQueued();
            }
          });
    }

    /**
     * Reports an overload if a host that warms up receives too much work within {@code fallTime}.
     */
    private void recordWork(long work) {
      long now = clock.nowMicros();
      if (startedAtMicros == 0 || now - startedAtMicros >= parameters.coldTime() || overloaded) {
        return;
      }
      recentWork.add(new WorkArrival(now, work));
      while (recentWork.peek().atMicros() < now - parameters.fallTime()) {
        recentWork.poll();
      }
      double sum = recentWork.stream().mapToDouble(WorkArrival::workMicros).sum();
      double limitMicros =
          parameters.fall() * capacityFraction() * parameters.cores() * parameters.fallTime();
      if (sum > limitMicros) {
        overloaded = true;
        observer.overloaded(this);
      }
    }

    private void reply(Consumer<Answer> answer, AnswerKind kind) {
      answer.accept(new Answer(kind, isPrimary(), positionMicros()));
    }

    private void startQueued() {
      while (!queue.isEmpty() && busyCores < parameters.cores()) {
        QueuedRequest queued = queue.poll();
        if (queued.query().deadlineMicros() <= clock.nowMicros()) {
          reply(queued.answer(), AnswerKind.FULL);
          continue;
        }
        busyCores++;
        observer.executionStarted(this, queued.query());
        double factor = (clock.nowMicros() < slowUntilMicros ? slowdown : 1) / capacityFraction();
        clock.after(
            (long) (queued.workMicros() * factor),
            () -> {
              if (queued.incarnation() == incarnation) {
                busyCores--;
                finish(queued);
                startQueued();
              }
            });
      }
    }

    private void finish(QueuedRequest queued) {
      if (queued.query().write()) {
        if (!isPrimary()) {
          // The host lost the primary role during execution; nothing was committed.
          reply(queued.answer(), AnswerKind.ERROR);
          return;
        }
        long commit = apply(this, queued.query(), queued.arrivedAtMicros());
        queued.answer().accept(new Answer(AnswerKind.OK, true, commit));
        return;
      }
      read(queued, clock.nowMicros() + parameters.patience());
    }

    private void read(QueuedRequest queued, long until) {
      if (queued.incarnation() != incarnation) {
        return;
      }
      Query query = queued.query();
      long now = clock.nowMicros();
      long requiredPosition =
          query.strong()
              ? now
              : query.maxStalenessMicros() > 0
                  ? now - query.maxStalenessMicros()
                  : lastCommitBySession.getOrDefault(query.session(), 0L);
      boolean covered = isPrimary() || !query.strong() && positionMicros() >= requiredPosition;
      if (covered || parameters.check() == ReplicaSetParameters.Check.SILENT) {
        observer.readServed(this, query, positionMicros());
        queued.answer().accept(new Answer(AnswerKind.OK, isPrimary(), positionMicros()));
      } else if (parameters.check() == ReplicaSetParameters.Check.REFUSE || now >= until) {
        reply(queued.answer(), AnswerKind.MISS);
      } else {
        clock.at(Math.min(until, now + 5_000), () -> read(queued, until));
      }
    }
  }

  private final Clock clock;
  private final UniformRandomProvider random;
  private final ReplicaSetParameters parameters;
  private final Observer observer;
  private final List<Host> hosts = new ArrayList<>();
  private final List<LogEntry> log = new ArrayList<>();
  private final Map<String, Long> lastCommitBySession = new LinkedHashMap<>();
  private final Map<String, Effect> lastEffectByKey = new LinkedHashMap<>();
  private final Map<String, Integer> effectCounts = new LinkedHashMap<>();
  private final ContinuousSampler workFactors;
  private Host primary;
  private int pendingElections;

  /** Creates a replica set of {@code hostCount} hosts, the first of which is the primary. */
  public ReplicaSetModel(
      String name,
      int hostCount,
      Clock clock,
      UniformRandomProvider random,
      ReplicaSetParameters parameters,
      Observer observer) {
    this.clock = clock;
    this.random = random;
    this.parameters = parameters;
    this.observer = observer;
    workFactors =
        parameters.sigma() == 0
            ? () -> 1
            : LogNormalSampler.of(
                ZigguratSampler.NormalizedGaussian.of(random), 0, parameters.sigma());
    for (int i = 0; i < hostCount; i++) {
      hosts.add(new Host(name + "-" + i));
    }
    primary = hosts.get(0);
  }

  public List<Host> hosts() {
    return hosts;
  }

  /** Returns the primary, or null if there is none. */
  public Host primary() {
    return primary;
  }

  /** Returns how many effects a key has, not counting lost ones. */
  public int effectCount(String key) {
    return effectCounts.getOrDefault(key, 0);
  }

  private long drawWorkMicros(boolean write) {
    return Math.max(
        1,
        (long) ((write ? parameters.writeWork() : parameters.readWork()) * workFactors.sample()));
  }

  /**
   * Executes a write and returns its commit position. A duplicate is recognized by its arrival
   * time, because the sender's deduplication window ignores the time spent in the host's queue.
   */
  private long apply(Host host, Query query, long arrived) {
    Effect before = lastEffectByKey.get(query.key());
    long now = clock.nowMicros();
    if (before != null && arrived - before.commitMicros() < parameters.window()) {
      observer.applied(host, before, query, true);
      return before.commitMicros();
    }
    Effect effect = new Effect(query.key(), query.id(), now, host.id());
    lastEffectByKey.put(query.key(), effect);
    effectCounts.merge(query.key(), 1, Integer::sum);
    log.add(new LogEntry(now, query.session(), effect));
    lastCommitBySession.put(query.session(), now);
    observer.applied(host, effect, query, false);
    return now;
  }

  /** Adds a replica that has the current data and starts to warm up. */
  public Host join(String id) {
    Host host = new Host(id);
    host.startedAtMicros = clock.nowMicros();
    host.nextEntryIndex = log.size();
    host.applierFreeAtMicros = clock.nowMicros();
    hosts.add(host);
    return host;
  }

  /** Ends the process of a host. If it was the primary, an election follows. */
  public void kill(Host host) {
    if (!host.up) {
      return;
    }
    host.up = false;
    host.incarnation++;
    host.busyCores = 0;
    host.queue.clear();
    if (primary == host) {
      host.nextEntryIndex = log.size();
      host.applierFreeAtMicros = clock.nowMicros();
      primary = null;
      observer.primaryChanged(null, host, List.of());
      elect(host, parameters.election() + random.nextLong(parameters.election() + 1));
    }
  }

  /** Restarts the process of a host with the data that it had when the process ended. */
  public void restart(Host host) {
    if (host.up) {
      return;
    }
    host.up = true;
    host.draining = false;
    host.overloaded = false;
    host.recentWork.clear();
    host.startedAtMicros = clock.nowMicros();
    host.nextEntryIndex = Math.min(host.nextEntryIndex, log.size());
    host.applierFreeAtMicros = clock.nowMicros();
    if (primary == null && pendingElections == 0) {
      elect(null, parameters.election());
    }
  }

  /** Drains a host: it completes accepted requests and rejects new ones; a primary hands over. */
  public void drain(Host host) {
    host.draining = true;
    if (primary == host) {
      elect(host, parameters.handOver());
    }
  }

  /**
   * Ends the drain of a host that has not ended; it accepts requests again, in its present role.
   */
  public void cancelDrain(Host host) {
    host.draining = false;
  }

  private void elect(Host before, long delay) {
    pendingElections++;
    clock.after(
        delay,
        () -> {
          pendingElections--;
          if (primary != null && primary != before) {
            return;
          }
          Host best = null;
          Set<Host> candidates = new LinkedHashSet<>(hosts);
          candidates.removeIf(host -> !host.up || host.draining);
          for (Host host : candidates) {
            host.appliedPosition(clock.nowMicros());
            best = best == null || host.nextEntryIndex > best.nextEntryIndex ? host : best;
          }
          if (best == null) {
            if (primary == null) {
              elect(before, parameters.election());
            }
            return;
          }
          promote(best);
        });
  }

  private void promote(Host best) {
    List<Effect> lost = new ArrayList<>();
    if (parameters.losesTail() && (primary == null || !primary.up)) {
      while (log.size() > best.nextEntryIndex) {
        Effect removed = log.remove(log.size() - 1).effect();
        lost.add(removed);
        effectCounts.merge(removed.key(), -1, Integer::sum);
        lastEffectByKey.remove(removed.key());
      }
      for (Host host : hosts) {
        host.nextEntryIndex = Math.min(host.nextEntryIndex, log.size());
      }
    }
    if (primary != null) {
      primary.nextEntryIndex = log.size();
      primary.applierFreeAtMicros = clock.nowMicros();
    }
    best.nextEntryIndex = log.size();
    Host before = primary;
    primary = best;
    observer.primaryChanged(best, before, lost);
  }
}

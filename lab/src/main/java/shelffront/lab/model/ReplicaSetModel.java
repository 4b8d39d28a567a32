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
 * A model of one replicated set: a primary, whose log ships late to replicas that apply it with one
 * thread each; boxes with cores, a waiting room, warm-up from cold; elections, hand-overs, copies
 * that come back old. It keeps the true record of every effect. No I/O: a carrier brings requests
 * and takes answers, in real or virtual time. One thread.
 */
public final class ReplicaSetModel {

  /** How a box answers. */
  public enum AnswerKind {
    OK,
    MISS,
    FULL,
    ERROR
  }

  /**
   * A request as a box sees it; {@code bound} is the greatest age that a read may have, 0 where its
   * session says.
   */
  public record Query(
      String id,
      String key,
      String session,
      boolean write,
      boolean strong,
      long maxStalenessMicros,
      long deadlineMicros) {}

  /** What comes of it: the position is the commit of a write, or that of a read's copy. */
  public record Answer(AnswerKind kind, boolean primary, long positionMicros) {}

  /** A write that took effect. */
  public record Effect(String key, String requestId, long commitMicros, String host) {}

  /** Told of what happens in the set, as it truly happens. */
  public interface Observer {

    /** A box has begun with a request, which from now on may have an effect. */
    void executionStarted(Host host, Query query);

    void applied(Host host, Effect effect, Query query, boolean repeated);

    /** A read was answered from a copy at this position, which needed that one. */
    void readServed(Host host, Query query, long position);

    /** A cold box got more than it can bear. */
    void overloaded(Host host);

    /**
     * Who is primary and who was; null where there is none. What of the log was lost with the one
     * before.
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

  /** One box of the set. */
  public final class Host {

    private final String id;
    private boolean up;
    private boolean draining;
    private long startedAtMicros; // 0 if long ago
    private int busyCores;
    private int incarnation; // work of an earlier process is gone
    private final ArrayDeque<QueuedRequest> queue = new ArrayDeque<>();
    private int nextEntry; // of the log, the entry to apply
    private long applierFreeAtMicros; // when its thread has applied the one before
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

    /** When its process started, or 0 if long ago. */
    public long startedAtMicros() {
      return startedAtMicros;
    }

    /** Requests that wait. */
    public int queued() {
      return queue.size();
    }

    /** Part of its cores that it has now. */
    public double capacityFraction() {
      long age = clock.nowMicros() - startedAtMicros;
      return startedAtMicros == 0 || age >= parameters.coldTime()
          ? 1
          : parameters.coldFrom() + (1 - parameters.coldFrom()) * age / parameters.coldTime();
    }

    /** The time up to which it has applied every commit. */
    public long positionMicros() {
      return isPrimary() ? clock.nowMicros() : appliedPosition(clock.nowMicros());
    }

    private long appliedPosition(long now) {
      while (nextEntry < log.size()) {
        long arrived = log.get(nextEntry).commitMicros() + parameters.shipDelay();
        long done =
            Math.max(arrived, applierFreeAtMicros)
                + (long) (parameters.applyCost() * (now < slowUntilMicros ? slowdown : 1));
        if (done > now) {
          break;
        }
        applierFreeAtMicros = done;
        nextEntry++;
      }
      long shipped = now - parameters.shipDelay();
      return nextEntry < log.size()
          ? Math.min(shipped, log.get(nextEntry).commitMicros() - 1)
          : shipped;
    }

    /** Work and the log's application take so many times as long, for a while. */
    public void slowDown(double factor, long time) {
      slowdown = factor;
      slowUntilMicros = clock.nowMicros() + time;
    }

    /** Begins with nothing for a while; what it works on goes on. */
    public void pause(long time) {
      occupy(parameters.cores(), time);
    }

    /** Takes a request; the answer comes later, unless the process ends first. */
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

    /** A connection costs a core some time. */
    public void handshake() {
      recordWork(parameters.handshake());
      occupy(1, parameters.handshake());
    }

    private void occupy(int cores, long time) {
      busyCores += cores;
      int mine = incarnation;
      clock.after(
          time,
          () -> {
            if (mine == incarnation) {
              busyCores -= cores;
              startQueued();
            }
          });
    }

    /** The rule on cold boxes: a budget of work over any window after the start. */
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
      double bearable =
          parameters.fall() * capacityFraction() * parameters.cores() * parameters.fallTime();
      if (sum > bearable) {
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
          reply(
              queued.answer(), AnswerKind.ERROR); // it was deposed meanwhile; nothing was committed
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
      long need =
          query.strong()
              ? now
              : query.maxStalenessMicros() > 0
                  ? now - query.maxStalenessMicros()
                  : lastCommitBySession.getOrDefault(query.session(), 0L);
      boolean covered = isPrimary() || !query.strong() && positionMicros() >= need;
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
  private final Map<String, Effect> lastByKey = new LinkedHashMap<>();
  private final Map<String, Integer> effectCounts = new LinkedHashMap<>();
  private final ContinuousSampler workSpread;
  private Host primary;
  private int pendingElections;

  /** A set of so many boxes, the first of which is primary. */
  public ReplicaSetModel(
      String name,
      int boxCount,
      Clock clock,
      UniformRandomProvider random,
      ReplicaSetParameters parameters,
      Observer witness) {
    this.clock = clock;
    this.random = random;
    this.parameters = parameters;
    this.observer = witness;
    workSpread =
        parameters.sigma() == 0
            ? () -> 1
            : LogNormalSampler.of(
                ZigguratSampler.NormalizedGaussian.of(random), 0, parameters.sigma());
    for (int i = 0; i < boxCount; i++) {
      hosts.add(new Host(name + "-" + i));
    }
    primary = hosts.get(0);
  }

  public List<Host> hosts() {
    return hosts;
  }

  /** Null while there is none. */
  public Host primary() {
    return primary;
  }

  /** How often a key's write took effect, and still has it. */
  public int effectCount(String key) {
    return effectCounts.getOrDefault(key, 0);
  }

  private long drawWorkMicros(boolean write) {
    return Math.max(
        1, (long) ((write ? parameters.writeWork() : parameters.readWork()) * workSpread.sample()));
  }

  /**
   * A repeat counts by when it arrived, as the sender's window does: that it waited for a core is
   * not its doing.
   */
  private long apply(Host host, Query query, long arrived) {
    Effect before = lastByKey.get(query.key());
    long now = clock.nowMicros();
    if (before != null && arrived - before.commitMicros() < parameters.window()) {
      observer.applied(host, before, query, true);
      return before.commitMicros();
    }
    Effect effect = new Effect(query.key(), query.id(), now, host.id());
    lastByKey.put(query.key(), effect);
    effectCounts.merge(query.key(), 1, Integer::sum);
    log.add(new LogEntry(now, query.session(), effect));
    lastCommitBySession.put(query.session(), now);
    observer.applied(host, effect, query, false);
    return now;
  }

  /** A new box joins as a replica, with a copy as of now, cold. */
  public Host join(String id) {
    Host host = new Host(id);
    host.startedAtMicros = clock.nowMicros();
    host.nextEntry = log.size();
    host.applierFreeAtMicros = clock.nowMicros();
    hosts.add(host);
    return host;
  }

  /** Its process ends; where it was primary, another is elected after a while. */
  public void kill(Host host) {
    if (!host.up) {
      return;
    }
    host.up = false;
    host.incarnation++;
    host.busyCores = 0;
    host.queue.clear();
    if (primary == host) {
      host.nextEntry = log.size();
      host.applierFreeAtMicros = clock.nowMicros();
      primary = null;
      observer.primaryChanged(null, host, List.of());
      elect(host, parameters.election() + random.nextLong(parameters.election() + 1));
    }
  }

  /** Its process starts anew from the copy that it had. */
  public void restart(Host host) {
    if (host.up) {
      return;
    }
    host.up = true;
    host.draining = false;
    host.overloaded = false;
    host.recentWork.clear();
    host.startedAtMicros = clock.nowMicros();
    host.nextEntry = Math.min(host.nextEntry, log.size());
    host.applierFreeAtMicros = clock.nowMicros();
    if (primary == null && pendingElections == 0) {
      elect(null, parameters.election());
    }
  }

  /** It finishes what it has and takes nothing new; a primary hands over. */
  public void drain(Host host) {
    host.draining = true;
    if (primary == host) {
      elect(host, parameters.handOver());
    }
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
          Set<Host> able = new LinkedHashSet<>(hosts);
          able.removeIf(host -> !host.up || host.draining);
          for (Host host : able) {
            host.appliedPosition(clock.nowMicros());
            best = best == null || host.nextEntry > best.nextEntry ? host : best;
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
      while (log.size() > best.nextEntry) {
        Effect gone = log.remove(log.size() - 1).effect();
        lost.add(gone);
        effectCounts.merge(gone.key(), -1, Integer::sum);
        lastByKey.remove(gone.key());
      }
      for (Host host : hosts) {
        host.nextEntry = Math.min(host.nextEntry, log.size());
      }
    }
    if (primary != null) {
      primary.nextEntry = log.size();
      primary.applierFreeAtMicros = clock.nowMicros();
    }
    best.nextEntry = log.size();
    Host before = primary;
    primary = best;
    observer.primaryChanged(best, before, lost);
  }
}

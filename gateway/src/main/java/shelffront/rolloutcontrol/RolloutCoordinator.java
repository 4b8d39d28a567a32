package shelffront.rolloutcontrol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import shelffront.coordination.CoordinationException;
import shelffront.coordination.CoordinationException.EngineGarbled;
import shelffront.coordination.CoordinationStore;
import shelffront.coordination.CoordinationStore.Value;
import shelffront.coordination.ValueJson;
import shelffront.net.EventLog;
import shelffront.rollout.LeaseHolder;
import shelffront.rollout.LeaseTimings;
import shelffront.rollout.Member;
import shelffront.rollout.RolloutLeader;
import shelffront.rollout.RolloutState;
import shelffront.rolloutcontrol.RolloutException.Contended;
import shelffront.rolloutcontrol.RolloutException.UnknownStage;
import shelffront.rolloutcontrol.RolloutException.UnknownSubject;

/**
 * A gateway's part in what its fleet changes stage by stage. Threads of its own: one for each shard
 * of subjects, which keeps their leases, one that watches where subjects stand, and one that tries
 * to be owner and moves them on. Whoever acts reads a snapshot without a lock: {@link #inForce}, or
 * {@link #beginOperation} where the act takes time.
 *
 * <p>The owner is found by a key that its holder writes anew in time; who sees it unchanged for
 * long enough takes it. That saves the engine work and no more: what keeps stages apart is in
 * {@link RolloutLeader} and does not rest on it.
 */
public final class RolloutCoordinator implements AutoCloseable {

  private static final ObjectMapper JSON = new ObjectMapper();

  /** Of the suspicion time: a key of the owner that is unchanged for so long is taken over. */
  private static final int OWNER_PATIENCE = 2;

  private static final long LEAST_PAUSE_MS = 20;

  /** Microseconds between an owner's looks while a subject moves. */
  private static final long MOVING = 100_000;

  /** What is in force: a standing, until its lease lapses. */
  private record InForce(RolloutState standing, long until) {}

  /**
   * One subject as this gateway has it; its holder is guarded by the shard's lock, the rest is read
   * without.
   */
  private static final class Subject {

    private final String name;
    private final List<String> stages;
    private final OpenOperations open = new OpenOperations();
    private LeaseHolder holder;
    private volatile InForce force;
    private volatile List<String> waitsFor = List.of(); // known where this gateway is owner

    private Subject(String name, List<String> stages, LeaseTimings bounds) {
      this.name = name;
      this.stages = stages;
      holder = LeaseHolder.absent(bounds);
    }
  }

  private final CoordinationStore engine;
  private final LeaseTimings bounds;
  private final EventLog log;
  private final RolloutHistory history;
  private final String prefix;
  private final String instance;
  private final Map<String, Subject> subjects = new HashMap<>();
  private final List<List<Subject>> shards = new ArrayList<>();
  private final List<Thread> threads = new ArrayList<>();
  private final Map<String, String> lastErrors =
      new ConcurrentHashMap<>(); // the last complaint of each thread
  private final Object ownerMonitor = new Object();
  private volatile boolean closed;
  private volatile boolean leads;
  private long beat; // of the owner's key; the owner's thread only

  /**
   * @param instance of this process: a gateway that starts again is another one, whose leases
   *     nobody remembers
   */
  public RolloutCoordinator(
      RolloutConfig config,
      CoordinationStore engine,
      String instance,
      RolloutHistory history,
      EventLog log) {
    this.engine = engine;
    this.log = log;
    this.history = history;
    this.instance = config.gatewayName() + "-" + instance;
    bounds = config.leaseTimings();
    prefix = "shelffront/" + config.fleet() + "/";
    for (int i = 0; i < config.shards(); i++) {
      shards.add(new ArrayList<>());
    }
    config
        .stagesBySubject()
        .forEach(
            (name, stages) -> {
              Subject subject = new Subject(name, stages, bounds);
              subjects.put(name, subject);
              shards.get(Math.floorMod(name.hashCode(), shards.size())).add(subject);
            });
  }

  public void start() {
    for (int i = 0; i < shards.size(); i++) {
      List<Subject> shard = shards.get(i);
      if (!shard.isEmpty()) {
        thread("stages-" + i, () -> keep(shard));
      }
    }
    thread("stages-watch", this::watch);
    thread("stages-owner", this::own);
  }

  private void thread(String name, Runnable task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (RuntimeException e) {
                log.println(name + " has ended, what it kept in force lapses: " + e);
              }
            },
            name);
    thread.setDaemon(true);
    threads.add(thread);
    thread.start();
  }

  private static long now() {
    return System.nanoTime() / 1000;
  }

  private Subject subject(String name) throws UnknownSubject {
    Subject subject = subjects.get(name);
    if (subject == null) {
      throw new UnknownSubject(name);
    }
    return subject;
  }

  // ---- For whoever acts
  // --------------------------------------------------------------------------------

  /** What this gateway may act under at this moment; null: the safe stage. Waits for nothing. */
  public RolloutState inForce(String name) throws UnknownSubject {
    InForce force = subject(name).force;
    return force != null && now() < force.until ? force.standing : null;
  }

  /**
   * Something that goes on under a stage; until it is closed the gateway acknowledges no later one.
   */
  public interface Operation extends AutoCloseable {

    RolloutState state();

    @Override
    void close();
  }

  /**
   * Begins an act under what is in force; null: in the safe stage nothing begins. Waits for
   * nothing.
   */
  public Operation beginOperation(String name) throws UnknownSubject {
    Subject subject = subject(name);
    while (true) {
      InForce force = subject.force;
      if (force == null || now() >= force.until) {
        return null;
      }
      long epoch = force.standing.epoch();
      subject.open.enter(epoch);
      InForce after = subject.force;
      // Guards against a stage that changed in between: its keeper may have looked before this act
      // was counted.
      if (after != null && after.standing.epoch() == epoch) {
        return act(subject, force.standing);
      }
      subject.open.leave(epoch);
    }
  }

  private static Operation act(Subject subject, RolloutState under) {
    return new Operation() {

      private boolean over;

      @Override
      public RolloutState state() {
        return under;
      }

      @Override
      public synchronized void close() {
        if (!over) {
          over = true;
          subject.open.leave(under.epoch());
        }
      }
    };
  }

  // ---- Leases
  // --------------------------------------------------------------------------------

  private void keep(List<Subject> shard) {
    while (!closed) {
      long wake = now() + bounds.renewIntervalMicros();
      for (Subject s : shard) {
        try {
          while (!closed && attend(shard, s)) {
            lastErrors.remove(s.name);
          }
        } catch (CoordinationException e) {
          complain(s.name, e);
          wake = now() + bounds.renewIntervalMicros() / 4;
        }
        synchronized (shard) {
          publish(s);
          wake = Math.min(wake, s.holder.waitsForOpenOperations() ? now() : s.holder.wakeAt());
        }
      }
      synchronized (shard) {
        pause(shard, wake);
      }
    }
  }

  private void pause(Object monitor, long until) {
    long ms = Math.max(LEAST_PAUSE_MS, (until - now()) / 1000);
    try {
      if (!closed) {
        monitor.wait(ms);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      closed = true;
    }
  }

  /**
   * Does what the subject's holder actions; false where it actions nothing now. The lock is not
   * held during a call.
   */
  private boolean attend(List<Subject> shard, Subject s) throws CoordinationException {
    LeaseHolder.Action action;
    String key;
    long sentAt = now();
    synchronized (shard) {
      publish(s); // before what is open is looked at: see begin
      action = s.holder.nextAction(sentAt, s.open.oldest());
      key = prefix + "members/" + s.name + "/" + instance + "." + s.holder.term();
    }
    if (action == null) {
      return false;
    }
    if (action instanceof LeaseHolder.ReadOwnKey) {
      Value value = engine.read(key);
      Member member = value == null ? null : member(value);
      synchronized (shard) {
        s.holder = s.holder.onOwnKeyRead(now(), member, value == null ? 0 : value.index());
        publish(s);
      }
    } else {
      write(shard, s, key, (LeaseHolder.Write) action, sentAt);
    }
    take(shard, s);
    return true;
  }

  private void write(
      List<Subject> shard, Subject s, String key, LeaseHolder.Write write, long sentAt)
      throws CoordinationException {
    String text = text(write.member(), sentAt);
    boolean taken = false;
    Value after = null;
    boolean known = false;
    try {
      taken = engine.checkAndSet(key, write.expectedIndex(), text);
      after = taken ? engine.read(key) : null;
      known = true;
    } finally {
      synchronized (shard) {
        boolean ours = known && taken && after != null && after.text().equals(text);
        s.holder =
            ours
                ? s.holder.onWriteAnswered(sentAt, now(), write, true, after.index())
                : s.holder.onWriteUnknown(now());
        publish(s);
      }
    }
  }

  /** Reads where a subject stands, as a member, and takes it up. */
  private void take(List<Subject> shard, Subject s) throws CoordinationException {
    int term;
    synchronized (shard) {
      if (!s.holder.isMember()) {
        return;
      }
      term = s.holder.term();
    }
    Value value = engine.read(prefix + "standing/" + s.name);
    if (value != null) {
      RolloutState standing = standing(s, value);
      synchronized (shard) {
        s.holder = s.holder.onStateRead(term, standing);
        publish(s);
      }
    }
  }

  /** Makes what the holder has in force the snapshot; under the shard's lock. */
  private void publish(Subject s) {
    long now = now();
    RolloutState standing = s.holder.inForce(now);
    InForce next = standing == null ? null : new InForce(standing, s.holder.leaseUntil());
    InForce before = s.force;
    if (next == null ? before != null : !next.equals(before)) {
      s.force = next;
      history.force(instance, s.name, standing, next == null ? now : next.until, now);
      boolean other = next == null || before == null || !standing.equals(before.standing);
      if (other) {
        log.println(
            "stage of "
                + s.name
                + " is "
                + (standing == null
                    ? "the safe one"
                    : s.stages.get(standing.stage()) + ", epoch " + standing.epoch()));
      }
    }
  }

  /** Subjects that moved are read at once; a watch that breaks or says nothing is begun anew. */
  private void watch() {
    long index = 0;
    while (!closed) {
      try {
        long last = index;
        index = engine.watch(prefix + "standing/", index).index();
        lastErrors.remove("watch");
        if (index < last) {
          index = 0; // the engine began anew
        }
        if (index != last) {
          for (List<Subject> shard : shards) {
            for (Subject s : shard) {
              take(shard, s);
            }
            synchronized (shard) {
              shard.notifyAll();
            }
          }
          synchronized (ownerMonitor) {
            ownerMonitor.notifyAll();
          }
        }
      } catch (CoordinationException e) {
        complain("watch", e);
        index = 0;
        synchronized (this) {
          pause(this, now() + bounds.renewIntervalMicros() / 4);
        }
      }
    }
  }

  // ---- The owner
  // --------------------------------------------------------------------------------

  private void own() {
    Map<String, RolloutLeader> owners = new HashMap<>();
    long index = 0;
    long since = now();
    while (!closed) {
      long wake = now() + bounds.renewIntervalMicros();
      try {
        Value value = engine.read(prefix + "owner");
        long at = value == null ? 0 : value.index();
        if (at != index) {
          index = at;
          since = now();
        }
        boolean mine = value != null && value.text().startsWith(instance + " ");
        boolean free =
            value == null || now() - since > OWNER_PATIENCE * bounds.suspectAfterMicros();
        boolean led = leads;
        leads = (mine || free) && engine.checkAndSet(prefix + "owner", at, instance + " " + ++beat);
        if (leads != led) {
          log.println(leads ? "owns the fleet's stages" : "owns the fleet's stages no longer");
          owners.clear(); // what was seen before tells nothing of the time between
          subjects.values().forEach(s -> s.waitsFor = List.of());
        }
        for (Subject s : subjects.values()) {
          if (leads) {
            wake = Math.min(wake, move(owners, s));
          }
        }
        lastErrors.remove("owner");
      } catch (CoordinationException e) {
        complain("owner", e);
      }
      synchronized (ownerMonitor) {
        pause(ownerMonitor, wake);
      }
    }
  }

  /** Looks at a subject and does what is due; gives when to look again. */
  private long move(Map<String, RolloutLeader> owners, Subject s) throws CoordinationException {
    String key = prefix + "standing/" + s.name;
    Value value = engine.read(key);
    if (value == null) {
      engine.checkAndSet(key, 0, text(s, new RolloutState(1, 0, 0)));
      return now();
    }
    RolloutState standing = standing(s, value);
    String members = prefix + "members/" + s.name + "/";
    Map<String, RolloutLeader.VersionedMember> seen = new TreeMap<>();
    for (Value m : engine.list(members).values()) {
      seen.put(m.key(), new RolloutLeader.VersionedMember(member(m), m.index()));
    }
    RolloutLeader owner =
        owners
            .getOrDefault(s.name, RolloutLeader.fresh(bounds))
            .onRead(now(), standing, value.index(), seen);
    owners.put(s.name, owner.withoutActions());
    s.waitsFor = owner.blockingMembers().stream().map(k -> k.substring(members.length())).toList();
    for (RolloutLeader.Action action : owner.actions()) {
      if (action instanceof RolloutLeader.Advance m) {
        if (engine.checkAndSet(key, m.expectedIndex(), text(s, m.newState()))) {
          history.moved(instance, s.name, m.newState(), now());
          log.println(
              "moved "
                  + s.name
                  + " to "
                  + s.stages.get(m.newState().stage())
                  + ", epoch "
                  + m.newState().epoch());
        }
      } else if (action instanceof RolloutLeader.Revoke r) {
        if (engine.checkAndSet(r.memberKey(), r.expectedIndex(), text(r.revoked(), 0))) {
          log.println(
              "revoked "
                  + r.memberKey()
                  + ", which did not renew; its lease may run for "
                  + bounds.leaseExpiryBoundMicros() / 1000
                  + " ms");
        }
      } else if (action instanceof RolloutLeader.RemoveMember f) {
        engine.checkAndDelete(f.memberKey(), f.expectedIndex());
      }
    }
    boolean moving = standing.stage() != standing.target();
    return moving ? now() + Math.min(bounds.renewIntervalMicros() / 4, MOVING) : owner.wakeAt();
  }

  // ---- Operators
  // --------------------------------------------------------------------------------

  /**
   * Where a subject stands.
   *
   * @param stageInForceHere null: the safe stage
   * @param isLeader whether this gateway is the fleet's owner
   * @param blockingMembers where it is, the members that hold up the next move
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
  public List<SubjectStatus> status(String only) throws RolloutException, CoordinationException {
    List<SubjectStatus> shown = new ArrayList<>();
    for (Subject s : only == null ? new TreeMap<>(subjects).values() : List.of(subject(only))) {
      Value value = engine.read(prefix + "standing/" + s.name);
      RolloutState standing = value == null ? new RolloutState(0, 0, 0) : standing(s, value);
      RolloutState here = inForce(s.name);
      shown.add(
          new SubjectStatus(
              s.name,
              s.stages.get(standing.stage()),
              s.stages.get(standing.target()),
              standing.epoch(),
              here == null ? null : s.stages.get(here.stage()),
              leads,
              s.waitsFor));
    }
    return shown;
  }

  /** Asks that a subject go to a stage, one after another; gives where it stands now. */
  public RolloutState requestStage(String name, String stage)
      throws RolloutException, CoordinationException {
    Subject s = subject(name);
    int to = s.stages.indexOf(stage);
    if (to < 0) {
      throw new UnknownStage(name, stage);
    }
    String key = prefix + "standing/" + name;
    Value value = engine.read(key);
    RolloutState standing = value == null ? new RolloutState(1, 0, 0) : standing(s, value);
    RolloutState next = standing.withTarget(to);
    if (!engine.checkAndSet(key, value == null ? 0 : value.index(), text(s, next))) {
      throw new Contended(name);
    }
    return next;
  }

  // ---- Texts
  // --------------------------------------------------------------------------------

  private static String text(Subject s, RolloutState standing) {
    return JSON.createObjectNode()
        .put("epoch", standing.epoch())
        .put("stage", s.stages.get(standing.stage()))
        .put("target", s.stages.get(standing.target()))
        .toString();
  }

  private static RolloutState standing(Subject s, Value value) throws EngineGarbled {
    JsonNode o = ValueJson.object(value);
    int stage = s.stages.indexOf(o.path("stage").asText());
    int target = s.stages.indexOf(o.path("target").asText());
    if (stage < 0 || target < 0 || o.path("epoch").asLong() < 1) {
      throw new EngineGarbled(
          value.key() + " names no stages that this gateway knows: " + value.text(), null);
    }
    return new RolloutState(o.path("epoch").asLong(), stage, target);
  }

  /** The nonce makes each write's text its own, so that its writer knows it again. */
  private static String text(Member member, long nonce) {
    return JSON.createObjectNode()
        .put("epoch", member.epoch())
        .put("revoked", member.revoked())
        .put("nonce", nonce)
        .toString();
  }

  private static Member member(Value value) throws EngineGarbled {
    JsonNode o = ValueJson.object(value);
    if (!o.path("epoch").isIntegralNumber() || !o.path("revoked").isBoolean()) {
      throw new EngineGarbled(value.key() + " is no member: " + value.text(), null);
    }
    return new Member(o.path("epoch").asLong(), o.path("revoked").asBoolean());
  }

  /** Says each thread's trouble once, until it is over or another. */
  private void complain(String who, CoordinationException e) {
    if (!e.code().equals(lastErrors.put(who, e.code()))) {
      log.println("stages " + who + " " + e.code() + ": " + e.getMessage());
    }
  }

  /**
   * Takes back the memberships under which nothing goes on, so that no move waits for them; others
   * lapse.
   */
  private void leave() {
    for (List<Subject> shard : shards) {
      for (Subject s : shard) {
        s.force = null;
        if (s.open.oldest() == Long.MAX_VALUE && s.holder.isMember()) {
          try {
            engine.checkAndDelete(
                prefix + "members/" + s.name + "/" + instance + "." + s.holder.term(),
                s.holder.index());
          } catch (CoordinationException e) {
            complain(s.name, e);
          }
        }
        history.force(instance, s.name, null, 0, now());
      }
    }
  }

  /** Ends its threads, then what it has in force. */
  @Override
  public void close() {
    closed = true;
    threads.forEach(Thread::interrupt);
    for (Thread thread : threads) {
      try {
        thread.join(TimeUnit.SECONDS.toMillis(2));
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    leave();
    engine.close();
    history.close();
  }
}

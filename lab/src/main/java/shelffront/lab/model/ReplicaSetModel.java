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
  public enum Kind {
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
      boolean fresh,
      long bound,
      long until) {}

  /** What comes of it: the position is the commit of a write, or that of a read's copy. */
  public record Answer(Kind kind, boolean primary, long position) {}

  /** A write that took effect. */
  public record Effect(String key, String id, long commit, String box) {}

  /** Told of what happens in the set, as it truly happens. */
  public interface Witness {

    /** A box has begun with a request, which from now on may have an effect. */
    void begun(Box box, Query query);

    void applied(Box box, Effect effect, Query by, boolean repeated);

    /** A read was answered from a copy at this position, which needed that one. */
    void read(Box box, Query query, long position);

    /** A cold box got more than it can bear. */
    void pushedOver(Box box);

    /**
     * Who is primary and who was; null where there is none. What of the log was lost with the one
     * before.
     */
    void primary(Box box, Box before, List<Effect> lost);
  }

  private record Entry(long commit, String session, Effect effect) {}

  private record Waiting(Query query, Consumer<Answer> answer, long work, int life, long arrived) {}

  private record Arrival(long at, double work) {}

  /** One box of the set. */
  public final class Box {

    private final String id;
    private boolean up;
    private boolean draining;
    private long startedAt; // 0 if long ago
    private int busy;
    private int life; // work of an earlier process is gone
    private final ArrayDeque<Waiting> room = new ArrayDeque<>();
    private int next; // of the log, the entry to apply
    private long freeAt; // when its thread has applied the one before
    private long slowUntil;
    private double slowness = 1;
    private final ArrayDeque<Arrival> arrivals = new ArrayDeque<>();
    private boolean fallen;

    private Box(String id) {
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
    public long startedAt() {
      return startedAt;
    }

    /** Requests that wait. */
    public int queued() {
      return room.size();
    }

    /** Part of its cores that it has now. */
    public double warmth() {
      long age = clock.now() - startedAt;
      return startedAt == 0 || age >= figures.coldTime()
          ? 1
          : figures.coldFrom() + (1 - figures.coldFrom()) * age / figures.coldTime();
    }

    /** The time up to which it has applied every commit. */
    public long position() {
      return isPrimary() ? clock.now() : applied(clock.now());
    }

    private long applied(long now) {
      while (next < log.size()) {
        long arrived = log.get(next).commit() + figures.shipDelay();
        long done =
            Math.max(arrived, freeAt)
                + (long) (figures.applyCost() * (now < slowUntil ? slowness : 1));
        if (done > now) {
          break;
        }
        freeAt = done;
        next++;
      }
      long shipped = now - figures.shipDelay();
      return next < log.size() ? Math.min(shipped, log.get(next).commit() - 1) : shipped;
    }

    /** Work and the log's application take so many times as long, for a while. */
    public void slow(double factor, long time) {
      slowness = factor;
      slowUntil = clock.now() + time;
    }

    /** Begins with nothing for a while; what it works on goes on. */
    public void pause(long time) {
      occupy(figures.cores(), time);
    }

    /** Takes a request; the answer comes later, unless the process ends first. */
    public void submit(Query query, Consumer<Answer> answer) {
      long work = work(query.write());
      weigh(work);
      if (!up) {
        return;
      }
      if (draining || query.until() <= clock.now()) {
        reply(answer, Kind.FULL);
      } else if (!isPrimary()
          && (query.write()
              || query.fresh() && figures.check() != ReplicaSetParameters.Check.SILENT)) {
        reply(answer, Kind.MISS);
      } else if (busy >= figures.cores() && room.size() >= figures.room()) {
        reply(answer, Kind.FULL);
      } else {
        room.add(new Waiting(query, answer, work, life, clock.now()));
        look();
      }
    }

    /** A connection costs a core some time. */
    public void handshake() {
      weigh(figures.handshake());
      occupy(1, figures.handshake());
    }

    private void occupy(int cores, long time) {
      busy += cores;
      int mine = life;
      clock.after(
          time,
          () -> {
            if (mine == life) {
              busy -= cores;
              look();
            }
          });
    }

    /** The rule on cold boxes: a budget of work over any window after the start. */
    private void weigh(long work) {
      long now = clock.now();
      if (startedAt == 0 || now - startedAt >= figures.coldTime() || fallen) {
        return;
      }
      arrivals.add(new Arrival(now, work));
      while (arrivals.peek().at() < now - figures.fallTime()) {
        arrivals.poll();
      }
      double sum = arrivals.stream().mapToDouble(Arrival::work).sum();
      double bearable = figures.fall() * warmth() * figures.cores() * figures.fallTime();
      if (sum > bearable) {
        fallen = true;
        witness.pushedOver(this);
      }
    }

    private void reply(Consumer<Answer> answer, Kind kind) {
      answer.accept(new Answer(kind, isPrimary(), position()));
    }

    private void look() {
      while (!room.isEmpty() && busy < figures.cores()) {
        Waiting w = room.poll();
        if (w.query().until() <= clock.now()) {
          reply(w.answer(), Kind.FULL);
          continue;
        }
        busy++;
        witness.begun(this, w.query());
        double factor = (clock.now() < slowUntil ? slowness : 1) / warmth();
        clock.after(
            (long) (w.work() * factor),
            () -> {
              if (w.life() == life) {
                busy--;
                done(w);
                look();
              }
            });
      }
    }

    private void done(Waiting w) {
      if (w.query().write()) {
        if (!isPrimary()) {
          reply(w.answer(), Kind.ERROR); // it was deposed meanwhile; nothing was committed
          return;
        }
        long commit = apply(this, w.query(), w.arrived());
        w.answer().accept(new Answer(Kind.OK, true, commit));
        return;
      }
      read(w, clock.now() + figures.patience());
    }

    private void read(Waiting w, long until) {
      if (w.life() != life) {
        return;
      }
      Query q = w.query();
      long now = clock.now();
      long need =
          q.fresh()
              ? now
              : q.bound() > 0 ? now - q.bound() : sessions.getOrDefault(q.session(), 0L);
      boolean covered = isPrimary() || !q.fresh() && position() >= need;
      if (covered || figures.check() == ReplicaSetParameters.Check.SILENT) {
        witness.read(this, q, position());
        w.answer().accept(new Answer(Kind.OK, isPrimary(), position()));
      } else if (figures.check() == ReplicaSetParameters.Check.REFUSE || now >= until) {
        reply(w.answer(), Kind.MISS);
      } else {
        clock.at(Math.min(until, now + 5_000), () -> read(w, until));
      }
    }
  }

  private final Clock clock;
  private final UniformRandomProvider random;
  private final ReplicaSetParameters figures;
  private final Witness witness;
  private final List<Box> boxes = new ArrayList<>();
  private final List<Entry> log = new ArrayList<>();
  private final Map<String, Long> sessions = new LinkedHashMap<>();
  private final Map<String, Effect> lastByKey = new LinkedHashMap<>();
  private final Map<String, Integer> counts = new LinkedHashMap<>();
  private final ContinuousSampler spread;
  private Box primary;
  private int elections;

  /** A set of so many boxes, the first of which is primary. */
  public ReplicaSetModel(
      String name,
      int boxCount,
      Clock clock,
      UniformRandomProvider random,
      ReplicaSetParameters figures,
      Witness witness) {
    this.clock = clock;
    this.random = random;
    this.figures = figures;
    this.witness = witness;
    spread =
        figures.sigma() == 0
            ? () -> 1
            : LogNormalSampler.of(
                ZigguratSampler.NormalizedGaussian.of(random), 0, figures.sigma());
    for (int i = 0; i < boxCount; i++) {
      boxes.add(new Box(name + "-" + i));
    }
    primary = boxes.get(0);
  }

  public List<Box> boxes() {
    return boxes;
  }

  /** Null while there is none. */
  public Box primary() {
    return primary;
  }

  /** How often a key's write took effect, and still has it. */
  public int effects(String key) {
    return counts.getOrDefault(key, 0);
  }

  private long work(boolean write) {
    return Math.max(
        1, (long) ((write ? figures.writeWork() : figures.readWork()) * spread.sample()));
  }

  /**
   * A repeat counts by when it arrived, as the sender's window does: that it waited for a core is
   * not its doing.
   */
  private long apply(Box box, Query query, long arrived) {
    Effect before = lastByKey.get(query.key());
    long now = clock.now();
    if (before != null && arrived - before.commit() < figures.window()) {
      witness.applied(box, before, query, true);
      return before.commit();
    }
    Effect effect = new Effect(query.key(), query.id(), now, box.id());
    lastByKey.put(query.key(), effect);
    counts.merge(query.key(), 1, Integer::sum);
    log.add(new Entry(now, query.session(), effect));
    sessions.put(query.session(), now);
    witness.applied(box, effect, query, false);
    return now;
  }

  /** A new box joins as a replica, with a copy as of now, cold. */
  public Box join(String id) {
    Box box = new Box(id);
    box.startedAt = clock.now();
    box.next = log.size();
    box.freeAt = clock.now();
    boxes.add(box);
    return box;
  }

  /** Its process ends; where it was primary, another is elected after a while. */
  public void kill(Box box) {
    if (!box.up) {
      return;
    }
    box.up = false;
    box.life++;
    box.busy = 0;
    box.room.clear();
    if (primary == box) {
      box.next = log.size();
      box.freeAt = clock.now();
      primary = null;
      witness.primary(null, box, List.of());
      elect(box, figures.election() + random.nextLong(figures.election() + 1));
    }
  }

  /** Its process starts anew from the copy that it had. */
  public void restart(Box box) {
    if (box.up) {
      return;
    }
    box.up = true;
    box.draining = false;
    box.fallen = false;
    box.arrivals.clear();
    box.startedAt = clock.now();
    box.next = Math.min(box.next, log.size());
    box.freeAt = clock.now();
    if (primary == null && elections == 0) {
      elect(null, figures.election());
    }
  }

  /** It finishes what it has and takes nothing new; a primary hands over. */
  public void drain(Box box) {
    box.draining = true;
    if (primary == box) {
      elect(box, figures.handOver());
    }
  }

  private void elect(Box before, long delay) {
    elections++;
    clock.after(
        delay,
        () -> {
          elections--;
          if (primary != null && primary != before) {
            return;
          }
          Box best = null;
          Set<Box> able = new LinkedHashSet<>(boxes);
          able.removeIf(b -> !b.up || b.draining);
          for (Box b : able) {
            b.applied(clock.now());
            best = best == null || b.next > best.next ? b : best;
          }
          if (best == null) {
            if (primary == null) {
              elect(before, figures.election());
            }
            return;
          }
          promote(best);
        });
  }

  private void promote(Box best) {
    List<Effect> lost = new ArrayList<>();
    if (figures.losesTail() && (primary == null || !primary.up)) {
      while (log.size() > best.next) {
        Effect gone = log.remove(log.size() - 1).effect();
        lost.add(gone);
        counts.merge(gone.key(), -1, Integer::sum);
        lastByKey.remove(gone.key());
      }
      for (Box b : boxes) {
        b.next = Math.min(b.next, log.size());
      }
    }
    if (primary != null) {
      primary.next = log.size();
      primary.freeAt = clock.now();
    }
    best.next = log.size();
    Box before = primary;
    primary = best;
    witness.primary(best, before, lost);
  }
}

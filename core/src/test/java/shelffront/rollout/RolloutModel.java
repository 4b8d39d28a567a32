package shelffront.rollout;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;

/**
 * An explicit-state checker of the mechanism: plays {@link LeaseHolder} and {@link RolloutLeader}
 * themselves through every order of events, breadth first, so that a counter-example is a shortest
 * one. Two gateways, two owners, one engine.
 *
 * <p>A step is one of: time passes; a process writes, reads or looks, and the answer comes, comes
 * late, or is lost; a request is held up and taken later, though its sender has given it up; a late
 * answer comes once more; an act begins or ends; a gateway or an owner restarts with no memory;
 * somebody turns the target round. A process that is paused is one that takes no step while time
 * passes. The first gateway's clock is slow by the drift and the first owner's fast. States are
 * told apart by a hash of 64 bits of all that matters to what can follow.
 */
final class RolloutModel {

  /** Units of time in a step, by a true clock; the drift is a quarter. */
  private static final int TRUE = 4;

  private static final int SLOW = 3;
  private static final int FAST = 5;

  /** A request on its way, of a process that waits for it no longer. */
  private record Loose(String what, UnaryOperator<Engine> effect) {}

  /** What the engine keeps. */
  private record Engine(
      RolloutState standing,
      long index,
      Map<String, RolloutLeader.VersionedMember> members,
      long next) {

    Engine put(String key, long at, Member member, boolean checked) {
      RolloutLeader.VersionedMember now = members.get(key);
      if (checked && (now == null ? 0 : now.index()) != at) {
        return this;
      }
      Map<String, RolloutLeader.VersionedMember> map = new TreeMap<>(members);
      map.put(key, new RolloutLeader.VersionedMember(member, next));
      return new Engine(standing, index, map, next + 1);
    }

    Engine forget(String key, long at, boolean checked) {
      RolloutLeader.VersionedMember now = members.get(key);
      if (now == null || checked && now.index() != at) {
        return this;
      }
      Map<String, RolloutLeader.VersionedMember> map = new TreeMap<>(members);
      map.remove(key);
      return new Engine(standing, index, map, next);
    }

    Engine stand(long at, RolloutState to, boolean checked) {
      return checked && index != at ? this : new Engine(to, next, members, next + 1);
    }
  }

  /** A gateway: what it is, its clock, and the epoch and end of an act that goes on. */
  private record Gateway(
      int life,
      LeaseHolder holder,
      long clock,
      RolloutState open,
      long openUntil,
      LeaseHolder.Write out,
      long sentAt,
      boolean taken,
      long answered,
      RolloutState late,
      int lateTerm) {

    Gateway with(LeaseHolder next) {
      return new Gateway(life, next, clock, open, openUntil, null, 0, false, 0, late, lateTerm);
    }

    Gateway at(long time) {
      boolean over = open != null && time >= openUntil;
      return new Gateway(
          life,
          holder,
          time,
          over ? null : open,
          openUntil,
          out,
          sentAt,
          taken,
          answered,
          late,
          lateTerm);
    }

    Gateway acting(RolloutState under, long until) {
      return new Gateway(
          life, holder, clock, under, until, out, sentAt, taken, answered, late, lateTerm);
    }

    Gateway waiting(LeaseHolder.Write write, boolean wasTaken, long index) {
      return new Gateway(
          life, holder, clock, open, openUntil, write, clock, wasTaken, index, late, lateTerm);
    }

    Gateway hearsLater(RolloutState what) {
      return new Gateway(
          life, holder, clock, open, openUntil, out, sentAt, taken, answered, what, holder.term());
    }

    String key(int number) {
      return "g" + number + "." + life + "." + holder.term();
    }

    RolloutState inForce() {
      return open != null ? open : holder.inForce(clock);
    }
  }

  /** An owner, its clock, and what it has read of a look that is not over. */
  private record Mover(
      RolloutLeader owner,
      long clock,
      RolloutState standing,
      long index,
      Map<String, RolloutLeader.VersionedMember> members) {

    Mover with(RolloutLeader next) {
      return new Mover(next, clock, null, 0, null);
    }
  }

  private record State(
      Engine engine,
      List<Gateway> gateways,
      List<Mover> movers,
      List<Loose> loose,
      int faults,
      int turns,
      int ticks,
      State before,
      String step) {}

  /** How an exploration ended: the states that were told apart, and a counter-example or null. */
  record Result(long states, int depth, List<String> trace) {}

  /**
   * A lease that a slow clock ends in the third step, and a lapse that a fast one reaches there and
   * not before.
   */
  private final LeaseTimings bounds = new LeaseTimings(7, 0, 0.25, 0);

  private final Set<SafetyRule> off;
  private final boolean checked;
  private final int gateways;
  private final int owners;
  private final int faults;
  private final int turns;

  /**
   * @param faults late answers, requests held up, looks in two parts and restarts, in all
   * @param turns how often the target may be turned round
   */
  RolloutModel(int gateways, int owners, int faults, int turns, SafetyRule... off) {
    this.gateways = gateways;
    this.owners = owners;
    this.faults = faults;
    this.turns = turns;
    this.off = off.length == 0 ? EnumSet.noneOf(SafetyRule.class) : EnumSet.of(off[0], off);
    checked = !this.off.contains(SafetyRule.CHECK_AND_SET);
  }

  /**
   * Every state that so many steps lead to.
   *
   * @param joined whether the gateways have joined and taken up the first stage at the start
   */
  Result explore(boolean joined, int depth) {
    Map<Long, Integer> seen = new HashMap<>();
    ArrayDeque<State> level = new ArrayDeque<>(List.of(start(joined)));
    seen.put(hash(level.peek()), 0);
    for (int d = 0; d < depth; d++) {
      ArrayDeque<State> next = new ArrayDeque<>();
      for (State state : level) {
        List<State> after = new ArrayList<>();
        steps(state, after::add);
        for (State s : after) {
          if (seen.putIfAbsent(hash(s), d + 1) == null) {
            if (isBroken(s)) {
              return new Result(seen.size(), d + 1, trace(s));
            }
            next.add(s);
          }
        }
      }
      level = next;
    }
    return new Result(seen.size(), depth, null);
  }

  private State start(boolean joined) {
    Engine engine = new Engine(new RolloutState(1, 0, 3), 1, Map.of(), 2);
    List<Gateway> all = new ArrayList<>();
    for (int i = 0; i < gateways; i++) {
      Gateway g =
          new Gateway(0, LeaseHolder.absent(bounds, off), 0, null, 0, null, 0, false, 0, null, 0);
      for (int write = 0; joined && write < 2; write++) {
        LeaseHolder.Write w = (LeaseHolder.Write) g.holder().nextAction(0, Long.MAX_VALUE);
        engine = engine.put(g.key(i), w.expectedIndex(), w.member(), true);
        g =
            g.with(
                g.holder().onWriteAnswered(0, 0, w, true, engine.members().get(g.key(i)).index()));
        g = g.with(g.holder().onStateRead(g.holder().term(), engine.standing()));
      }
      all.add(g);
    }
    Mover mover = new Mover(RolloutLeader.fresh(bounds, off), 0, null, 0, null);
    return new State(
        engine,
        all,
        Collections.nCopies(owners, mover),
        List.of(),
        faults,
        turns,
        0,
        null,
        "start");
  }

  /** At most two neighbouring stages in force, and nobody further from the engine than one. */
  private static boolean isBroken(State s) {
    int least = s.engine().standing().stage();
    int most = least;
    for (Gateway g : s.gateways()) {
      RolloutState in = g.inForce();
      if (in != null) {
        least = Math.min(least, in.stage());
        most = Math.max(most, in.stage());
      }
    }
    return most - least > 1;
  }

  private static List<String> trace(State s) {
    List<String> lines = new ArrayList<>();
    for (State at = s; at != null; at = at.before()) {
      lines.add(0, at.step() + " -> engine " + at.engine().standing());
    }
    return lines;
  }

  private void steps(State s, Consumer<State> to) {
    tick(s, to);
    for (int i = 0; i < s.gateways().size(); i++) {
      gateway(s, i, to);
    }
    for (int i = 0; i < s.movers().size(); i++) {
      mover(s, i, to);
    }
    for (int i = 0; i < s.loose().size(); i++) {
      Loose l = s.loose().get(i);
      List<Loose> rest = new ArrayList<>(s.loose());
      rest.remove(i);
      to.accept(
          new State(
              l.effect().apply(s.engine()),
              s.gateways(),
              s.movers(),
              rest,
              s.faults(),
              s.turns(),
              s.ticks(),
              s,
              l.what() + " is taken after all"));
    }
    if (s.turns() > 0) {
      to.accept(
          new State(
              s.engine()
                  .stand(
                      s.engine().index(),
                      s.engine().standing().withTarget(s.engine().standing().target() == 0 ? 3 : 0),
                      true),
              s.gateways(),
              s.movers(),
              s.loose(),
              s.faults(),
              s.turns() - 1,
              s.ticks(),
              s,
              "the target is turned round"));
    }
  }

  private void tick(State s, Consumer<State> to) {
    List<Gateway> gateways = new ArrayList<>();
    for (int i = 0; i < s.gateways().size(); i++) {
      Gateway g = s.gateways().get(i);
      gateways.add(g.at(g.clock() + (i == 0 ? SLOW : TRUE)));
    }
    List<Mover> movers = new ArrayList<>();
    for (int i = 0; i < s.movers().size(); i++) {
      Mover m = s.movers().get(i);
      movers.add(
          new Mover(
              m.owner(), m.clock() + (i == 0 ? FAST : TRUE), m.standing(), m.index(), m.members()));
    }
    to.accept(
        new State(
            s.engine(),
            gateways,
            movers,
            s.loose(),
            s.faults(),
            s.turns(),
            s.ticks() + 1,
            s,
            "time passes"));
  }

  private State set(State s, Engine engine, int i, Gateway g, String step) {
    return set(s, engine, i, g, s.loose(), s.faults(), step);
  }

  private State set(
      State s, Engine engine, int i, Gateway g, List<Loose> loose, int left, String step) {
    List<Gateway> gateways = new ArrayList<>(s.gateways());
    gateways.set(i, g);
    return new State(
        engine,
        gateways,
        s.movers(),
        loose,
        left,
        s.turns(),
        s.ticks(),
        s,
        "gateway " + i + " " + step);
  }

  private static List<Loose> plus(List<Loose> loose, Loose one) {
    List<Loose> all = new ArrayList<>(loose);
    all.add(one);
    return all;
  }

  private void gateway(State s, int i, Consumer<State> to) {
    Gateway g = s.gateways().get(i);
    LeaseHolder h = g.holder();
    long now = g.clock();
    Engine e = s.engine();
    String key = g.key(i);
    boolean fault = s.faults() > 0;
    if (g.out() != null) {
      to.accept(
          set(
              s,
              e,
              i,
              g.with(h.onWriteAnswered(g.sentAt(), now, g.out(), g.taken(), g.answered())),
              "hears late that its write was " + (g.taken() ? "" : "not ") + "taken"));
    } else {
      LeaseHolder.Action action =
          h.nextAction(now, g.open() == null ? Long.MAX_VALUE : g.open().epoch());
      if (action instanceof LeaseHolder.Write w) {
        Engine after = e.put(key, w.expectedIndex(), w.member(), checked);
        boolean taken = after != e;
        long at = taken ? after.members().get(key).index() : 0;
        String what = "write of " + key + " " + w;
        to.accept(
            set(
                s,
                after,
                i,
                g.with(h.onWriteAnswered(now, now, w, taken, at)),
                what + (taken ? "" : " fails")));
        if (fault) {
          to.accept(
              set(
                  s,
                  after,
                  i,
                  g.waiting(w, taken, at),
                  s.loose(),
                  s.faults() - 1,
                  what + ", its answer is late"));
          to.accept(
              set(
                  s,
                  e,
                  i,
                  g.with(h.onWriteUnknown(now)),
                  plus(
                      s.loose(),
                      new Loose(what, x -> x.put(key, w.expectedIndex(), w.member(), checked))),
                  s.faults() - 1,
                  what + " is held up and given up"));
        }
      } else if (action instanceof LeaseHolder.ReadOwnKey) {
        RolloutLeader.VersionedMember seen = e.members().get(key);
        to.accept(
            set(
                s,
                e,
                i,
                g.with(
                    h.onOwnKeyRead(
                        now, seen == null ? null : seen.member(), seen == null ? 0 : seen.index())),
                "looks at " + key));
      }
    }
    if (h.isMember() || off.contains(SafetyRule.JOIN_FIRST)) {
      LeaseHolder heard = h.onStateRead(h.term(), e.standing());
      if (heard != h) {
        to.accept(
            set(
                s,
                e,
                i,
                new Gateway(
                    g.life(),
                    heard,
                    now,
                    g.open(),
                    g.openUntil(),
                    g.out(),
                    g.sentAt(),
                    g.taken(),
                    g.answered(),
                    g.late(),
                    g.lateTerm()),
                "reads the standing"));
      }
      if (fault && g.late() == null) {
        to.accept(
            set(
                s,
                e,
                i,
                g.hearsLater(e.standing()),
                s.loose(),
                s.faults() - 1,
                "reads the standing, the answer is late"));
      }
    }
    if (g.late() != null) { // it stays: it may come once more
      to.accept(
          set(
              s,
              e,
              i,
              new Gateway(
                  g.life(),
                  h.onStateRead(g.lateTerm(), g.late()),
                  now,
                  g.open(),
                  g.openUntil(),
                  g.out(),
                  g.sentAt(),
                  g.taken(),
                  g.answered(),
                  g.late(),
                  g.lateTerm()),
              "hears a late answer " + g.late()));
    }
    if (g.open() == null && h.inForce(now) != null) {
      to.accept(
          set(
              s,
              e,
              i,
              g.acting(h.inForce(now), h.leaseUntil() + bounds.operationMicros()),
              "begins an act"));
    } else if (g.open() != null) {
      to.accept(set(s, e, i, g.acting(null, 0), "ends an act"));
    }
    if (fault) {
      to.accept(
          set(
              s,
              e,
              i,
              new Gateway(
                  g.life() + 1,
                  LeaseHolder.absent(bounds, off),
                  now,
                  null,
                  0,
                  null,
                  0,
                  false,
                  0,
                  null,
                  0),
              s.loose(),
              s.faults() - 1,
              "restarts"));
    }
  }

  private State set(
      State s, Engine engine, int i, Mover m, List<Loose> loose, int left, String step) {
    List<Mover> movers = new ArrayList<>(s.movers());
    movers.set(i, m);
    return new State(
        engine,
        s.gateways(),
        movers,
        loose,
        left,
        s.turns(),
        s.ticks(),
        s,
        "owner " + i + " " + step);
  }

  private void mover(State s, int i, Consumer<State> to) {
    Mover m = s.movers().get(i);
    Engine e = s.engine();
    if (m.standing() == null && m.members() == null) {
      to.accept(
          set(
              s,
              e,
              i,
              m.with(m.owner().onRead(m.clock(), e.standing(), e.index(), e.members())),
              s.loose(),
              s.faults(),
              "looks"));
      if (s.faults() > 0) {
        Mover half =
            off.contains(SafetyRule.STANDING_FIRST)
                ? new Mover(m.owner(), m.clock(), null, 0, e.members())
                : new Mover(m.owner(), m.clock(), e.standing(), e.index(), null);
        to.accept(set(s, e, i, half, s.loose(), s.faults() - 1, "begins a look"));
      }
    } else {
      RolloutState standing = m.standing() != null ? m.standing() : e.standing();
      long index = m.standing() != null ? m.index() : e.index();
      Map<String, RolloutLeader.VersionedMember> members =
          m.members() != null ? m.members() : e.members();
      to.accept(
          set(
              s,
              e,
              i,
              m.with(m.owner().onRead(m.clock(), standing, index, members)),
              s.loose(),
              s.faults(),
              "ends its look"));
    }
    for (RolloutLeader.Action action : m.owner().actions()) {
      UnaryOperator<Engine> effect = x -> effect(x, action);
      to.accept(
          set(
              s,
              effect.apply(e),
              i,
              m.with(m.owner().withoutActions()),
              s.loose(),
              s.faults(),
              action.toString()));
      if (s.faults() > 0) {
        to.accept(
            set(
                s,
                e,
                i,
                m.with(m.owner().withoutActions()),
                plus(s.loose(), new Loose("the owner's " + action, effect)),
                s.faults() - 1,
                action + " is held up and given up"));
      }
    }
    if (s.faults() > 0) {
      to.accept(
          set(
              s,
              e,
              i,
              m.with(RolloutLeader.fresh(bounds, off)),
              s.loose(),
              s.faults() - 1,
              "restarts"));
    }
  }

  private Engine effect(Engine e, RolloutLeader.Action action) {
    if (action instanceof RolloutLeader.Advance move) {
      return e.stand(move.expectedIndex(), move.newState(), checked);
    }
    if (action instanceof RolloutLeader.Revoke r) {
      return e.put(r.memberKey(), r.expectedIndex(), r.revoked(), checked);
    }
    RolloutLeader.RemoveMember f = (RolloutLeader.RemoveMember) action;
    return e.forget(f.memberKey(), f.expectedIndex(), checked);
  }

  private static long hash(State s) {
    StringBuilder text = new StringBuilder(256);
    text.append(s.engine()).append(s.faults()).append(s.turns());
    for (Gateway g : s.gateways()) {
      text.append('|')
          .append(g.life())
          .append(g.holder().fingerprint(g.clock()))
          .append(g.open())
          .append(g.open() == null ? 0 : g.openUntil() - g.clock())
          .append(g.out())
          .append(g.out() == null ? 0 : g.sentAt() - g.clock())
          .append(g.taken())
          .append(g.answered())
          .append(g.late())
          .append(g.lateTerm());
    }
    for (Mover m : s.movers()) {
      text.append('|')
          .append(m.owner().fingerprint(m.clock()))
          .append(m.standing())
          .append(m.index())
          .append(m.members());
    }
    s.loose().forEach(l -> text.append('|').append(l.what()));
    long hash = 0xcbf29ce484222325L;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
    }
    return hash ^ hash >>> 29;
  }
}

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
  private record DelayedRequest(String what, UnaryOperator<Engine> effect) {}

  /** What the engine keeps. */
  private record Engine(
      RolloutState rolloutState,
      long index,
      Map<String, RolloutLeader.VersionedMember> members,
      long next) {

    Engine writeMember(String key, long at, Member member, boolean checked) {
      RolloutLeader.VersionedMember now = members.get(key);
      if (checked && (now == null ? 0 : now.index()) != at) {
        return this;
      }
      Map<String, RolloutLeader.VersionedMember> map = new TreeMap<>(members);
      map.put(key, new RolloutLeader.VersionedMember(member, next));
      return new Engine(rolloutState, index, map, next + 1);
    }

    Engine removeMember(String key, long at, boolean checked) {
      RolloutLeader.VersionedMember now = members.get(key);
      if (now == null || checked && now.index() != at) {
        return this;
      }
      Map<String, RolloutLeader.VersionedMember> map = new TreeMap<>(members);
      map.remove(key);
      return new Engine(rolloutState, index, map, next);
    }

    Engine writeState(long at, RolloutState newState, boolean checked) {
      return checked && index != at ? this : new Engine(newState, next, members, next + 1);
    }
  }

  /** A gateway: what it is, its clock, and the epoch and end of an act that goes on. */
  private record Gateway(
      int incarnation,
      LeaseHolder holder,
      long clock,
      RolloutState openUnder,
      long openUntil,
      LeaseHolder.Write writeInFlight,
      long sentAt,
      boolean writeTaken,
      long answeredIndex,
      RolloutState lateState,
      int lateTerm) {

    Gateway with(LeaseHolder next) {
      return new Gateway(
          incarnation, next, clock, openUnder, openUntil, null, 0, false, 0, lateState, lateTerm);
    }

    Gateway at(long time) {
      boolean over = openUnder != null && time >= openUntil;
      return new Gateway(
          incarnation,
          holder,
          time,
          over ? null : openUnder,
          openUntil,
          writeInFlight,
          sentAt,
          writeTaken,
          answeredIndex,
          lateState,
          lateTerm);
    }

    Gateway withOperation(RolloutState under, long until) {
      return new Gateway(
          incarnation,
          holder,
          clock,
          under,
          until,
          writeInFlight,
          sentAt,
          writeTaken,
          answeredIndex,
          lateState,
          lateTerm);
    }

    Gateway withWriteInFlight(LeaseHolder.Write write, boolean wasTaken, long index) {
      return new Gateway(
          incarnation,
          holder,
          clock,
          openUnder,
          openUntil,
          write,
          clock,
          wasTaken,
          index,
          lateState,
          lateTerm);
    }

    Gateway withLateState(RolloutState what) {
      return new Gateway(
          incarnation,
          holder,
          clock,
          openUnder,
          openUntil,
          writeInFlight,
          sentAt,
          writeTaken,
          answeredIndex,
          what,
          holder.term());
    }

    String key(int number) {
      return "g" + number + "." + incarnation + "." + holder.term();
    }

    RolloutState inForce() {
      return openUnder != null ? openUnder : holder.inForce(clock);
    }
  }

  /** An owner, its clock, and what it has read of a look that is not over. */
  private record LeaderProcess(
      RolloutLeader leader,
      long clock,
      RolloutState standing,
      long index,
      Map<String, RolloutLeader.VersionedMember> members) {

    LeaderProcess with(RolloutLeader next) {
      return new LeaderProcess(next, clock, null, 0, null);
    }
  }

  private record State(
      Engine engine,
      List<Gateway> gateways,
      List<LeaderProcess> leaders,
      List<DelayedRequest> delayedRequests,
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
  private final LeaseTimings timings = new LeaseTimings(7, 0, 0.25, 0);

  private final Set<SafetyRule> disabledRules;
  private final boolean checked;
  private final int gateways;
  private final int leaders;
  private final int faults;
  private final int retargets;

  /**
   * @param faults late answers, requests held up, looks in two parts and restarts, in all
   * @param turns how often the target may be turned round
   */
  RolloutModel(int gateways, int owners, int faults, int turns, SafetyRule... off) {
    this.gateways = gateways;
    this.leaders = owners;
    this.faults = faults;
    this.retargets = turns;
    this.disabledRules =
        off.length == 0 ? EnumSet.noneOf(SafetyRule.class) : EnumSet.of(off[0], off);
    checked = !this.disabledRules.contains(SafetyRule.CHECK_AND_SET);
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
    for (int number = 0; number < gateways; number++) {
      Gateway gateway =
          new Gateway(
              0,
              LeaseHolder.absent(timings, disabledRules),
              0,
              null,
              0,
              null,
              0,
              false,
              0,
              null,
              0);
      for (int round = 0; joined && round < 2; round++) {
        LeaseHolder.Write write =
            (LeaseHolder.Write) gateway.holder().nextAction(0, Long.MAX_VALUE);
        engine =
            engine.writeMember(gateway.key(number), write.expectedIndex(), write.member(), true);
        gateway =
            gateway.with(
                gateway
                    .holder()
                    .onWriteAnswered(
                        0, 0, write, true, engine.members().get(gateway.key(number)).index()));
        gateway =
            gateway.with(
                gateway.holder().onStateRead(gateway.holder().term(), engine.rolloutState()));
      }
      all.add(gateway);
    }
    LeaderProcess mover =
        new LeaderProcess(RolloutLeader.fresh(timings, disabledRules), 0, null, 0, null);
    return new State(
        engine,
        all,
        Collections.nCopies(leaders, mover),
        List.of(),
        faults,
        retargets,
        0,
        null,
        "start");
  }

  /** At most two neighbouring stages in force, and nobody further from the engine than one. */
  private static boolean isBroken(State state) {
    int least = state.engine().rolloutState().stage();
    int most = least;
    for (Gateway gateway : state.gateways()) {
      RolloutState inForce = gateway.inForce();
      if (inForce != null) {
        least = Math.min(least, inForce.stage());
        most = Math.max(most, inForce.stage());
      }
    }
    return most - least > 1;
  }

  private static List<String> trace(State state) {
    List<String> lines = new ArrayList<>();
    for (State each = state; each != null; each = each.before()) {
      lines.add(0, each.step() + " -> engine " + each.engine().rolloutState());
    }
    return lines;
  }

  private void steps(State state, Consumer<State> successors) {
    tick(state, successors);
    for (int number = 0; number < state.gateways().size(); number++) {
      gateway(state, number, successors);
    }
    for (int number = 0; number < state.leaders().size(); number++) {
      mover(state, number, successors);
    }
    for (int number = 0; number < state.delayedRequests().size(); number++) {
      DelayedRequest held = state.delayedRequests().get(number);
      List<DelayedRequest> rest = new ArrayList<>(state.delayedRequests());
      rest.remove(number);
      successors.accept(
          new State(
              held.effect().apply(state.engine()),
              state.gateways(),
              state.leaders(),
              rest,
              state.faults(),
              state.turns(),
              state.ticks(),
              state,
              held.what() + " is taken after all"));
    }
    if (state.turns() > 0) {
      successors.accept(
          new State(
              state
                  .engine()
                  .writeState(
                      state.engine().index(),
                      state
                          .engine()
                          .rolloutState()
                          .withTarget(state.engine().rolloutState().target() == 0 ? 3 : 0),
                      true),
              state.gateways(),
              state.leaders(),
              state.delayedRequests(),
              state.faults(),
              state.turns() - 1,
              state.ticks(),
              state,
              "the target is turned round"));
    }
  }

  private void tick(State state, Consumer<State> successors) {
    List<Gateway> gateways = new ArrayList<>();
    for (int number = 0; number < state.gateways().size(); number++) {
      Gateway gateway = state.gateways().get(number);
      gateways.add(gateway.at(gateway.clock() + (number == 0 ? SLOW : TRUE)));
    }
    List<LeaderProcess> movers = new ArrayList<>();
    for (int number = 0; number < state.leaders().size(); number++) {
      LeaderProcess mover = state.leaders().get(number);
      movers.add(
          new LeaderProcess(
              mover.leader(),
              mover.clock() + (number == 0 ? FAST : TRUE),
              mover.standing(),
              mover.index(),
              mover.members()));
    }
    successors.accept(
        new State(
            state.engine(),
            gateways,
            movers,
            state.delayedRequests(),
            state.faults(),
            state.turns(),
            state.ticks() + 1,
            state,
            "time passes"));
  }

  private State set(State state, Engine engine, int number, Gateway gateway, String step) {
    return set(state, engine, number, gateway, state.delayedRequests(), state.faults(), step);
  }

  private State set(
      State state,
      Engine engine,
      int number,
      Gateway gateway,
      List<DelayedRequest> loose,
      int left,
      String step) {
    List<Gateway> gateways = new ArrayList<>(state.gateways());
    gateways.set(number, gateway);
    return new State(
        engine,
        gateways,
        state.leaders(),
        loose,
        left,
        state.turns(),
        state.ticks(),
        state,
        "gateway " + number + " " + step);
  }

  private static List<DelayedRequest> plus(List<DelayedRequest> loose, DelayedRequest one) {
    List<DelayedRequest> all = new ArrayList<>(loose);
    all.add(one);
    return all;
  }

  private void gateway(State state, int number, Consumer<State> successors) {
    Gateway gateway = state.gateways().get(number);
    LeaseHolder holder = gateway.holder();
    long now = gateway.clock();
    Engine engine = state.engine();
    String key = gateway.key(number);
    boolean fault = state.faults() > 0;
    if (gateway.writeInFlight() != null) {
      successors.accept(
          set(
              state,
              engine,
              number,
              gateway.with(
                  holder.onWriteAnswered(
                      gateway.sentAt(),
                      now,
                      gateway.writeInFlight(),
                      gateway.writeTaken(),
                      gateway.answeredIndex())),
              "hears late that its write was " + (gateway.writeTaken() ? "" : "not ") + "taken"));
    } else {
      LeaseHolder.Action action =
          holder.nextAction(
              now, gateway.openUnder() == null ? Long.MAX_VALUE : gateway.openUnder().epoch());
      if (action instanceof LeaseHolder.Write write) {
        Engine after = engine.writeMember(key, write.expectedIndex(), write.member(), checked);
        boolean taken = after != engine;
        long index = taken ? after.members().get(key).index() : 0;
        String what = "write of " + key + " " + write;
        successors.accept(
            set(
                state,
                after,
                number,
                gateway.with(holder.onWriteAnswered(now, now, write, taken, index)),
                what + (taken ? "" : " fails")));
        if (fault) {
          successors.accept(
              set(
                  state,
                  after,
                  number,
                  gateway.withWriteInFlight(write, taken, index),
                  state.delayedRequests(),
                  state.faults() - 1,
                  what + ", its answer is late"));
          successors.accept(
              set(
                  state,
                  engine,
                  number,
                  gateway.with(holder.onWriteUnknown(now)),
                  plus(
                      state.delayedRequests(),
                      new DelayedRequest(
                          what,
                          current ->
                              current.writeMember(
                                  key, write.expectedIndex(), write.member(), checked))),
                  state.faults() - 1,
                  what + " is held up and given up"));
        }
      } else if (action instanceof LeaseHolder.ReadOwnKey) {
        RolloutLeader.VersionedMember seen = engine.members().get(key);
        successors.accept(
            set(
                state,
                engine,
                number,
                gateway.with(
                    holder.onOwnKeyRead(
                        now, seen == null ? null : seen.member(), seen == null ? 0 : seen.index())),
                "looks at " + key));
      }
    }
    if (holder.isMember() || disabledRules.contains(SafetyRule.JOIN_FIRST)) {
      LeaseHolder heard = holder.onStateRead(holder.term(), engine.rolloutState());
      if (heard != holder) {
        successors.accept(
            set(
                state,
                engine,
                number,
                new Gateway(
                    gateway.incarnation(),
                    heard,
                    now,
                    gateway.openUnder(),
                    gateway.openUntil(),
                    gateway.writeInFlight(),
                    gateway.sentAt(),
                    gateway.writeTaken(),
                    gateway.answeredIndex(),
                    gateway.lateState(),
                    gateway.lateTerm()),
                "reads the standing"));
      }
      if (fault && gateway.lateState() == null) {
        successors.accept(
            set(
                state,
                engine,
                number,
                gateway.withLateState(engine.rolloutState()),
                state.delayedRequests(),
                state.faults() - 1,
                "reads the standing, the answer is late"));
      }
    }
    if (gateway.lateState() != null) { // it stays: it may come once more
      successors.accept(
          set(
              state,
              engine,
              number,
              new Gateway(
                  gateway.incarnation(),
                  holder.onStateRead(gateway.lateTerm(), gateway.lateState()),
                  now,
                  gateway.openUnder(),
                  gateway.openUntil(),
                  gateway.writeInFlight(),
                  gateway.sentAt(),
                  gateway.writeTaken(),
                  gateway.answeredIndex(),
                  gateway.lateState(),
                  gateway.lateTerm()),
              "hears a late answer " + gateway.lateState()));
    }
    if (gateway.openUnder() == null && holder.inForce(now) != null) {
      successors.accept(
          set(
              state,
              engine,
              number,
              gateway.withOperation(
                  holder.inForce(now), holder.leaseUntil() + timings.operationMicros()),
              "begins an act"));
    } else if (gateway.openUnder() != null) {
      successors.accept(set(state, engine, number, gateway.withOperation(null, 0), "ends an act"));
    }
    if (fault) {
      successors.accept(
          set(
              state,
              engine,
              number,
              new Gateway(
                  gateway.incarnation() + 1,
                  LeaseHolder.absent(timings, disabledRules),
                  now,
                  null,
                  0,
                  null,
                  0,
                  false,
                  0,
                  null,
                  0),
              state.delayedRequests(),
              state.faults() - 1,
              "restarts"));
    }
  }

  private State set(
      State state,
      Engine engine,
      int number,
      LeaderProcess mover,
      List<DelayedRequest> loose,
      int left,
      String step) {
    List<LeaderProcess> movers = new ArrayList<>(state.leaders());
    movers.set(number, mover);
    return new State(
        engine,
        state.gateways(),
        movers,
        loose,
        left,
        state.turns(),
        state.ticks(),
        state,
        "owner " + number + " " + step);
  }

  private void mover(State state, int number, Consumer<State> successors) {
    LeaderProcess mover = state.leaders().get(number);
    Engine engine = state.engine();
    if (mover.standing() == null && mover.members() == null) {
      successors.accept(
          set(
              state,
              engine,
              number,
              mover.with(
                  mover
                      .leader()
                      .onRead(
                          mover.clock(), engine.rolloutState(), engine.index(), engine.members())),
              state.delayedRequests(),
              state.faults(),
              "looks"));
      if (state.faults() > 0) {
        LeaderProcess half =
            disabledRules.contains(SafetyRule.STANDING_FIRST)
                ? new LeaderProcess(mover.leader(), mover.clock(), null, 0, engine.members())
                : new LeaderProcess(
                    mover.leader(), mover.clock(), engine.rolloutState(), engine.index(), null);
        successors.accept(
            set(
                state,
                engine,
                number,
                half,
                state.delayedRequests(),
                state.faults() - 1,
                "begins a look"));
      }
    } else {
      RolloutState standing = mover.standing() != null ? mover.standing() : engine.rolloutState();
      long index = mover.standing() != null ? mover.index() : engine.index();
      Map<String, RolloutLeader.VersionedMember> members =
          mover.members() != null ? mover.members() : engine.members();
      successors.accept(
          set(
              state,
              engine,
              number,
              mover.with(mover.leader().onRead(mover.clock(), standing, index, members)),
              state.delayedRequests(),
              state.faults(),
              "ends its look"));
    }
    for (RolloutLeader.Action action : mover.leader().actions()) {
      UnaryOperator<Engine> effect = current -> effect(current, action);
      successors.accept(
          set(
              state,
              effect.apply(engine),
              number,
              mover.with(mover.leader().withoutActions()),
              state.delayedRequests(),
              state.faults(),
              action.toString()));
      if (state.faults() > 0) {
        successors.accept(
            set(
                state,
                engine,
                number,
                mover.with(mover.leader().withoutActions()),
                plus(state.delayedRequests(), new DelayedRequest("the owner's " + action, effect)),
                state.faults() - 1,
                action + " is held up and given up"));
      }
    }
    if (state.faults() > 0) {
      successors.accept(
          set(
              state,
              engine,
              number,
              mover.with(RolloutLeader.fresh(timings, disabledRules)),
              state.delayedRequests(),
              state.faults() - 1,
              "restarts"));
    }
  }

  private Engine effect(Engine engine, RolloutLeader.Action action) {
    if (action instanceof RolloutLeader.Advance move) {
      return engine.writeState(move.expectedIndex(), move.newState(), checked);
    }
    if (action instanceof RolloutLeader.Revoke revoke) {
      return engine.writeMember(
          revoke.memberKey(), revoke.expectedIndex(), revoke.revoked(), checked);
    }
    RolloutLeader.RemoveMember remove = (RolloutLeader.RemoveMember) action;
    return engine.removeMember(remove.memberKey(), remove.expectedIndex(), checked);
  }

  private static long hash(State state) {
    StringBuilder text = new StringBuilder(256);
    text.append(state.engine()).append(state.faults()).append(state.turns());
    for (Gateway gateway : state.gateways()) {
      text.append('|')
          .append(gateway.incarnation())
          .append(gateway.holder().fingerprint(gateway.clock()))
          .append(gateway.openUnder())
          .append(gateway.openUnder() == null ? 0 : gateway.openUntil() - gateway.clock())
          .append(gateway.writeInFlight())
          .append(gateway.writeInFlight() == null ? 0 : gateway.sentAt() - gateway.clock())
          .append(gateway.writeTaken())
          .append(gateway.answeredIndex())
          .append(gateway.lateState())
          .append(gateway.lateTerm());
    }
    for (LeaderProcess mover : state.leaders()) {
      text.append('|')
          .append(mover.leader().fingerprint(mover.clock()))
          .append(mover.standing())
          .append(mover.index())
          .append(mover.members());
    }
    state.delayedRequests().forEach(held -> text.append('|').append(held.what()));
    long hash = 0xcbf29ce484222325L;
    for (int number = 0; number < text.length(); number++) {
      hash = (hash ^ text.charAt(number)) * 0x100000001b3L;
    }
    return hash ^ hash >>> 29;
  }
}

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
 * An explicit-state model checker of rollouts. It runs the production classes {@link LeaseHolder}
 * and {@link RolloutLeader} through every order of events, breadth first, so that a counter-example
 * is a shortest one. The model has up to two gateways, up to two leaders and one coordination
 * store.
 *
 * <p>A step is one of: time passes; a process sends a read or write, whose response arrives, is
 * delayed or is lost; a write is delayed and applied after its sender has given up; a delayed
 * response is delivered again; an operation begins or ends; a gateway or a leader restarts without
 * its state; the target is reversed. A paused process is one that takes no step while time passes.
 * The first gateway's clock is slow and the first leader's clock is fast by the maximum drift.
 * States are identified by a 64-bit hash of everything that affects future behaviour.
 */
final class RolloutModel {

  /** Time units per step of an accurate clock; the drift is a quarter. */
  private static final int ACCURATE_CLOCK_UNITS = 4;

  private static final int SLOW_CLOCK_UNITS = 3;
  private static final int FAST_CLOCK_UNITS = 5;

  /** A write in flight whose sender has given up waiting for the response. */
  private record DelayedWrite(String description, UnaryOperator<Store> effect) {}

  /** The contents of the coordination store. */
  private record Store(
      RolloutState rolloutState,
      long index,
      Map<String, RolloutLeader.VersionedMember> members,
      long next) {

    Store writeMember(String key, long expectedIndex, Member member, boolean checksIndex) {
      RolloutLeader.VersionedMember now = members.get(key);
      if (checksIndex && (now == null ? 0 : now.index()) != expectedIndex) {
        return this;
      }
      Map<String, RolloutLeader.VersionedMember> map = new TreeMap<>(members);
      map.put(key, new RolloutLeader.VersionedMember(member, next));
      return new Store(rolloutState, index, map, next + 1);
    }

    Store removeMember(String key, long expectedIndex, boolean checksIndex) {
      RolloutLeader.VersionedMember now = members.get(key);
      if (now == null || checksIndex && now.index() != expectedIndex) {
        return this;
      }
      Map<String, RolloutLeader.VersionedMember> map = new TreeMap<>(members);
      map.remove(key);
      return new Store(rolloutState, index, map, next);
    }

    Store writeState(long expectedIndex, RolloutState newState, boolean checksIndex) {
      return checksIndex && index != expectedIndex
          ? this
          : new Store(newState, next, members, next + 1);
    }
  }

  /** A gateway: its holder and clock, its open operation, its write in flight, a delayed read. */
  private record Gateway(
      int incarnation,
      LeaseHolder holder,
      long clock,
      RolloutState openUnder,
      long openUntil,
      LeaseHolder.Write writeInFlight,
      long sentAt,
      boolean writeApplied,
      long answeredIndex,
      RolloutState delayedState,
      int delayedTerm) {

    Gateway with(LeaseHolder next) {
      return new Gateway(
          incarnation,
          next,
          clock,
          openUnder,
          openUntil,
          null,
          0,
          false,
          0,
          delayedState,
          delayedTerm);
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
          writeApplied,
          answeredIndex,
          delayedState,
          delayedTerm);
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
          writeApplied,
          answeredIndex,
          delayedState,
          delayedTerm);
    }

    Gateway withWriteInFlight(LeaseHolder.Write write, boolean wasApplied, long index) {
      return new Gateway(
          incarnation,
          holder,
          clock,
          openUnder,
          openUntil,
          write,
          clock,
          wasApplied,
          index,
          delayedState,
          delayedTerm);
    }

    Gateway withDelayedState(RolloutState description) {
      return new Gateway(
          incarnation,
          holder,
          clock,
          openUnder,
          openUntil,
          writeInFlight,
          sentAt,
          writeApplied,
          answeredIndex,
          description,
          holder.term());
    }

    String key(int number) {
      return "g" + number + "." + incarnation + "." + holder.term();
    }

    RolloutState inForce() {
      return openUnder != null ? openUnder : holder.inForce(clock);
    }
  }

  /** A leader, its clock, and the first half of a read that is not complete. */
  private record LeaderProcess(
      RolloutLeader leader,
      long clock,
      RolloutState readState,
      long index,
      Map<String, RolloutLeader.VersionedMember> members) {

    LeaderProcess with(RolloutLeader next) {
      return new LeaderProcess(next, clock, null, 0, null);
    }
  }

  private record State(
      Store store,
      List<Gateway> gateways,
      List<LeaderProcess> leaders,
      List<DelayedWrite> delayedWrites,
      int faults,
      int reversals,
      int ticks,
      State predecessor,
      String step) {}

  /** The number of distinct states, the depth reached, and a counter-example or null. */
  record Result(long states, int depth, List<String> trace) {}

  /**
   * A lease that expires in the third step by a slow clock, and an expiry bound that a fast clock
   * reaches in that step and not before.
   */
  private final LeaseTimings timings = new LeaseTimings(7, 0, 0.25, 0);

  private final Set<SafetyRule> disabledRules;
  private final boolean checksIndex;
  private final int gateways;
  private final int leaders;
  private final int faults;
  private final int maxReversals;

  /**
   * Creates a model.
   *
   * @param faults the maximum total number of delayed responses, delayed writes, reads in two parts
   *     and restarts
   * @param reversals the maximum number of reversals of the target
   */
  RolloutModel(int gateways, int leaders, int faults, int reversals, SafetyRule... disabledRules) {
    this.gateways = gateways;
    this.leaders = leaders;
    this.faults = faults;
    this.maxReversals = reversals;
    this.disabledRules =
        disabledRules.length == 0
            ? EnumSet.noneOf(SafetyRule.class)
            : EnumSet.of(disabledRules[0], disabledRules);
    checksIndex = !this.disabledRules.contains(SafetyRule.CHECK_AND_SET);
  }

  /**
   * Explores every state within the given number of steps, up to the first violation.
   *
   * @param joined whether the gateways have joined and adopted the first stage at the start
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
            if (violatesInvariant(s)) {
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
    Store store = new Store(new RolloutState(1, 0, 3), 1, Map.of(), 2);
    List<Gateway> all = new ArrayList<>();
    for (int number = 0; number < gateways; number++) {
      Gateway gateway =
          new Gateway(
              0,
              LeaseHolder.notJoined(timings, disabledRules),
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
        store = store.writeMember(gateway.key(number), write.expectedIndex(), write.member(), true);
        gateway =
            gateway.with(
                gateway
                    .holder()
                    .onWriteResponse(
                        0, 0, write, true, store.members().get(gateway.key(number)).index()));
        gateway =
            gateway.with(
                gateway.holder().onStateRead(gateway.holder().term(), store.rolloutState()));
      }
      all.add(gateway);
    }
    LeaderProcess leaderProcess =
        new LeaderProcess(RolloutLeader.initial(timings, disabledRules), 0, null, 0, null);
    return new State(
        store,
        all,
        Collections.nCopies(leaders, leaderProcess),
        List.of(),
        faults,
        maxReversals,
        0,
        null,
        "start");
  }

  /** The invariant: all stages in force and the stored stage lie within two adjacent stages. */
  private static boolean violatesInvariant(State state) {
    int lowestStage = state.store().rolloutState().stage();
    int highestStage = lowestStage;
    for (Gateway gateway : state.gateways()) {
      RolloutState inForce = gateway.inForce();
      if (inForce != null) {
        lowestStage = Math.min(lowestStage, inForce.stage());
        highestStage = Math.max(highestStage, inForce.stage());
      }
    }
    return highestStage - lowestStage > 1;
  }

  private static List<String> trace(State state) {
    List<String> lines = new ArrayList<>();
    for (State each = state; each != null; each = each.predecessor()) {
      lines.add(0, each.step() + " -> store " + each.store().rolloutState());
    }
    return lines;
  }

  private void steps(State state, Consumer<State> successors) {
    tick(state, successors);
    for (int number = 0; number < state.gateways().size(); number++) {
      gateway(state, number, successors);
    }
    for (int number = 0; number < state.leaders().size(); number++) {
      leaderProcess(state, number, successors);
    }
    for (int number = 0; number < state.delayedWrites().size(); number++) {
      DelayedWrite request = state.delayedWrites().get(number);
      List<DelayedWrite> rest = new ArrayList<>(state.delayedWrites());
      rest.remove(number);
      successors.accept(
          new State(
              request.effect().apply(state.store()),
              state.gateways(),
              state.leaders(),
              rest,
              state.faults(),
              state.reversals(),
              state.ticks(),
              state,
              request.description() + " is applied after a delay"));
    }
    if (state.reversals() > 0) {
      successors.accept(
          new State(
              state
                  .store()
                  .writeState(
                      state.store().index(),
                      state
                          .store()
                          .rolloutState()
                          .withTarget(state.store().rolloutState().target() == 0 ? 3 : 0),
                      true),
              state.gateways(),
              state.leaders(),
              state.delayedWrites(),
              state.faults(),
              state.reversals() - 1,
              state.ticks(),
              state,
              "the target is reversed"));
    }
  }

  private void tick(State state, Consumer<State> successors) {
    List<Gateway> gateways = new ArrayList<>();
    for (int number = 0; number < state.gateways().size(); number++) {
      Gateway gateway = state.gateways().get(number);
      gateways.add(
          gateway.at(gateway.clock() + (number == 0 ? SLOW_CLOCK_UNITS : ACCURATE_CLOCK_UNITS)));
    }
    List<LeaderProcess> leaderProcesses = new ArrayList<>();
    for (int number = 0; number < state.leaders().size(); number++) {
      LeaderProcess leaderProcess = state.leaders().get(number);
      leaderProcesses.add(
          new LeaderProcess(
              leaderProcess.leader(),
              leaderProcess.clock() + (number == 0 ? FAST_CLOCK_UNITS : ACCURATE_CLOCK_UNITS),
              leaderProcess.readState(),
              leaderProcess.index(),
              leaderProcess.members()));
    }
    successors.accept(
        new State(
            state.store(),
            gateways,
            leaderProcesses,
            state.delayedWrites(),
            state.faults(),
            state.reversals(),
            state.ticks() + 1,
            state,
            "time passes"));
  }

  private State set(State state, Store store, int number, Gateway gateway, String step) {
    return set(state, store, number, gateway, state.delayedWrites(), state.faults(), step);
  }

  private State set(
      State state,
      Store store,
      int number,
      Gateway gateway,
      List<DelayedWrite> delayed,
      int faultsLeft,
      String step) {
    List<Gateway> gateways = new ArrayList<>(state.gateways());
    gateways.set(number, gateway);
    return new State(
        store,
        gateways,
        state.leaders(),
        delayed,
        faultsLeft,
        state.reversals(),
        state.ticks(),
        state,
        "gateway " + number + " " + step);
  }

  private static List<DelayedWrite> plus(List<DelayedWrite> delayed, DelayedWrite one) {
    List<DelayedWrite> all = new ArrayList<>(delayed);
    all.add(one);
    return all;
  }

  private void gateway(State state, int number, Consumer<State> successors) {
    Gateway gateway = state.gateways().get(number);
    LeaseHolder holder = gateway.holder();
    long now = gateway.clock();
    Store store = state.store();
    String key = gateway.key(number);
    boolean fault = state.faults() > 0;
    if (gateway.writeInFlight() != null) {
      successors.accept(
          set(
              state,
              store,
              number,
              gateway.with(
                  holder.onWriteResponse(
                      gateway.sentAt(),
                      now,
                      gateway.writeInFlight(),
                      gateway.writeApplied(),
                      gateway.answeredIndex())),
              "receives the delayed response that its write was "
                  + (gateway.writeApplied() ? "" : "not ")
                  + "applied"));
    } else {
      LeaseHolder.Action action =
          holder.nextAction(
              now, gateway.openUnder() == null ? Long.MAX_VALUE : gateway.openUnder().epoch());
      if (action instanceof LeaseHolder.Write write) {
        Store after = store.writeMember(key, write.expectedIndex(), write.member(), checksIndex);
        boolean applied = after != store;
        long index = applied ? after.members().get(key).index() : 0;
        String description = "write of " + key + " " + write;
        successors.accept(
            set(
                state,
                after,
                number,
                gateway.with(holder.onWriteResponse(now, now, write, applied, index)),
                description + (applied ? "" : " fails")));
        if (fault) {
          successors.accept(
              set(
                  state,
                  after,
                  number,
                  gateway.withWriteInFlight(write, applied, index),
                  state.delayedWrites(),
                  state.faults() - 1,
                  description + ", its response is delayed"));
          successors.accept(
              set(
                  state,
                  store,
                  number,
                  gateway.with(holder.onWriteOutcomeUnknown(now)),
                  plus(
                      state.delayedWrites(),
                      new DelayedWrite(
                          description,
                          current ->
                              current.writeMember(
                                  key, write.expectedIndex(), write.member(), checksIndex))),
                  state.faults() - 1,
                  description + " is delayed and given up"));
        }
      } else if (action instanceof LeaseHolder.ReadOwnKey) {
        RolloutLeader.VersionedMember seen = store.members().get(key);
        successors.accept(
            set(
                state,
                store,
                number,
                gateway.with(
                    holder.onOwnKeyRead(
                        now, seen == null ? null : seen.member(), seen == null ? 0 : seen.index())),
                "reads " + key));
      }
    }
    if (holder.isMember() || disabledRules.contains(SafetyRule.JOIN_BEFORE_READ)) {
      LeaseHolder updated = holder.onStateRead(holder.term(), store.rolloutState());
      if (updated != holder) {
        successors.accept(
            set(
                state,
                store,
                number,
                new Gateway(
                    gateway.incarnation(),
                    updated,
                    now,
                    gateway.openUnder(),
                    gateway.openUntil(),
                    gateway.writeInFlight(),
                    gateway.sentAt(),
                    gateway.writeApplied(),
                    gateway.answeredIndex(),
                    gateway.delayedState(),
                    gateway.delayedTerm()),
                "reads the state"));
      }
      if (fault && gateway.delayedState() == null) {
        successors.accept(
            set(
                state,
                store,
                number,
                gateway.withDelayedState(store.rolloutState()),
                state.delayedWrites(),
                state.faults() - 1,
                "reads the state, the response is delayed"));
      }
    }
    if (gateway.delayedState() != null) { // kept, since it may be delivered again
      successors.accept(
          set(
              state,
              store,
              number,
              new Gateway(
                  gateway.incarnation(),
                  holder.onStateRead(gateway.delayedTerm(), gateway.delayedState()),
                  now,
                  gateway.openUnder(),
                  gateway.openUntil(),
                  gateway.writeInFlight(),
                  gateway.sentAt(),
                  gateway.writeApplied(),
                  gateway.answeredIndex(),
                  gateway.delayedState(),
                  gateway.delayedTerm()),
              "receives a delayed response " + gateway.delayedState()));
    }
    if (gateway.openUnder() == null && holder.inForce(now) != null) {
      successors.accept(
          set(
              state,
              store,
              number,
              gateway.withOperation(
                  holder.inForce(now), holder.leaseExpiresAtMicros() + timings.operationMicros()),
              "begins an operation"));
    } else if (gateway.openUnder() != null) {
      successors.accept(
          set(state, store, number, gateway.withOperation(null, 0), "ends an operation"));
    }
    if (fault) {
      successors.accept(
          set(
              state,
              store,
              number,
              new Gateway(
                  gateway.incarnation() + 1,
                  LeaseHolder.notJoined(timings, disabledRules),
                  now,
                  null,
                  0,
                  null,
                  0,
                  false,
                  0,
                  null,
                  0),
              state.delayedWrites(),
              state.faults() - 1,
              "restarts"));
    }
  }

  private State set(
      State state,
      Store store,
      int number,
      LeaderProcess leaderProcess,
      List<DelayedWrite> delayed,
      int faultsLeft,
      String step) {
    List<LeaderProcess> leaderProcesses = new ArrayList<>(state.leaders());
    leaderProcesses.set(number, leaderProcess);
    return new State(
        store,
        state.gateways(),
        leaderProcesses,
        delayed,
        faultsLeft,
        state.reversals(),
        state.ticks(),
        state,
        "leader " + number + " " + step);
  }

  private void leaderProcess(State state, int number, Consumer<State> successors) {
    LeaderProcess leaderProcess = state.leaders().get(number);
    Store store = state.store();
    if (leaderProcess.readState() == null && leaderProcess.members() == null) {
      successors.accept(
          set(
              state,
              store,
              number,
              leaderProcess.with(
                  leaderProcess
                      .leader()
                      .onRead(
                          leaderProcess.clock(),
                          store.rolloutState(),
                          store.index(),
                          store.members())),
              state.delayedWrites(),
              state.faults(),
              "reads the state and the members"));
      if (state.faults() > 0) {
        LeaderProcess partialRead =
            disabledRules.contains(SafetyRule.STATE_BEFORE_MEMBERS)
                ? new LeaderProcess(
                    leaderProcess.leader(), leaderProcess.clock(), null, 0, store.members())
                : new LeaderProcess(
                    leaderProcess.leader(),
                    leaderProcess.clock(),
                    store.rolloutState(),
                    store.index(),
                    null);
        successors.accept(
            set(
                state,
                store,
                number,
                partialRead,
                state.delayedWrites(),
                state.faults() - 1,
                "begins a read in two parts"));
      }
    } else {
      RolloutState readState =
          leaderProcess.readState() != null ? leaderProcess.readState() : store.rolloutState();
      long index = leaderProcess.readState() != null ? leaderProcess.index() : store.index();
      Map<String, RolloutLeader.VersionedMember> members =
          leaderProcess.members() != null ? leaderProcess.members() : store.members();
      successors.accept(
          set(
              state,
              store,
              number,
              leaderProcess.with(
                  leaderProcess.leader().onRead(leaderProcess.clock(), readState, index, members)),
              state.delayedWrites(),
              state.faults(),
              "completes its read"));
    }
    for (RolloutLeader.Action action : leaderProcess.leader().actions()) {
      UnaryOperator<Store> effect = current -> effect(current, action);
      successors.accept(
          set(
              state,
              effect.apply(store),
              number,
              leaderProcess.with(leaderProcess.leader().withoutActions()),
              state.delayedWrites(),
              state.faults(),
              action.toString()));
      if (state.faults() > 0) {
        successors.accept(
            set(
                state,
                store,
                number,
                leaderProcess.with(leaderProcess.leader().withoutActions()),
                plus(state.delayedWrites(), new DelayedWrite("the leader's " + action, effect)),
                state.faults() - 1,
                action + " is delayed and given up"));
      }
    }
    if (state.faults() > 0) {
      successors.accept(
          set(
              state,
              store,
              number,
              leaderProcess.with(RolloutLeader.initial(timings, disabledRules)),
              state.delayedWrites(),
              state.faults() - 1,
              "restarts"));
    }
  }

  private Store effect(Store store, RolloutLeader.Action action) {
    if (action instanceof RolloutLeader.Advance advance) {
      return store.writeState(advance.expectedIndex(), advance.newState(), checksIndex);
    }
    if (action instanceof RolloutLeader.Revoke revoke) {
      return store.writeMember(
          revoke.memberKey(), revoke.expectedIndex(), revoke.revoked(), checksIndex);
    }
    RolloutLeader.RemoveMember remove = (RolloutLeader.RemoveMember) action;
    return store.removeMember(remove.memberKey(), remove.expectedIndex(), checksIndex);
  }

  private static long hash(State state) {
    StringBuilder text = new StringBuilder(256);
    text.append(state.store()).append(state.faults()).append(state.reversals());
    for (Gateway gateway : state.gateways()) {
      text.append('|')
          .append(gateway.incarnation())
          .append(gateway.holder().fingerprint(gateway.clock()))
          .append(gateway.openUnder())
          .append(gateway.openUnder() == null ? 0 : gateway.openUntil() - gateway.clock())
          .append(gateway.writeInFlight())
          .append(gateway.writeInFlight() == null ? 0 : gateway.sentAt() - gateway.clock())
          .append(gateway.writeApplied())
          .append(gateway.answeredIndex())
          .append(gateway.delayedState())
          .append(gateway.delayedTerm());
    }
    for (LeaderProcess leaderProcess : state.leaders()) {
      text.append('|')
          .append(leaderProcess.leader().fingerprint(leaderProcess.clock()))
          .append(leaderProcess.readState())
          .append(leaderProcess.index())
          .append(leaderProcess.members());
    }
    state.delayedWrites().forEach(request -> text.append('|').append(request.description()));
    long hash = 0xcbf29ce484222325L;
    for (int number = 0; number < text.length(); number++) {
      hash = (hash ^ text.charAt(number)) * 0x100000001b3L;
    }
    return hash ^ hash >>> 29;
  }
}

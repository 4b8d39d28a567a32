package shelffront.distribution;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import shelffront.distribution.ReplicatedView.Guard;

/**
 * Plays the code itself in drawn orders of events: an engine that takes changes and may be restored
 * from older data, two distributors that follow it at their own pace and restart, and a subscriber
 * whose questions and answers are late, lost, doubled and out of order.
 */
final class DistributionModel {

  private static final int STEPS = 120;
  private static final List<String> NAMES = List.of("a", "b", "c");

  /** The history as the engine has it; a new incarnation forgets the end of it. */
  private static final class EngineModel {

    private final List<RecordChange> history = new ArrayList<>();
    private Version version = new Version(1, 0);
    private Version restoredAt = version; // changes up to here can be had by a snapshot only

    void change(String name, String document) {
      version = version.next();
      history.add(new RecordChange(version, name, document));
    }

    void restore(int lost) {
      for (int i = 0; i < lost && !history.isEmpty(); i++) {
        history.remove(history.size() - 1);
      }
      version = new Version(version.incarnation() + 1, version.sequence() + 1);
      restoredAt = version;
      history.replaceAll(
          change ->
              new RecordChange(
                  new Version(restoredAt.incarnation(), change.version().sequence()),
                  change.name(),
                  change.document()));
    }

    Map<String, RecordChange> recordsAt(Version version) {
      Map<String, RecordChange> records = new HashMap<>();
      for (RecordChange change : history) {
        if (!version.isBefore(change.version())) {
          if (change.isRemoval()) {
            records.remove(change.name());
          } else {
            records.put(change.name(), change);
          }
        }
      }
      return records;
    }

    /**
     * As an engine is read that goes on changing: a version, then the records, then the changes
     * since.
     */
    Update.Snapshot snapshot(Version readFirst) {
      List<RecordChange> since =
          history.stream().filter(change -> readFirst.isBefore(change.version())).toList();
      return Update.Snapshot.assemble(version, List.copyOf(recordsAt(version).values()), since);
    }
  }

  /** An answer on its way, with the edition of names that its question named. */
  private record InFlight(Update update, long edition) {}

  private record Fetched(RecordChange record, Version asOf) {}

  private final EngineModel engine = new EngineModel();
  private final RecordTable[] distributors = {new RecordTable(4, 1000), new RecordTable(4, 1000)};
  private final ReplicatedView view;
  private Set<String> toldNames = Set.of();
  private long toldEdition;
  private final List<InFlight> answers = new ArrayList<>();
  private final Map<String, Fetched> fetches = new HashMap<>();
  private final Map<String, RecordChange> inForce = new HashMap<>();
  private final Map<String, Version> lastInForce = new HashMap<>(); // removals too
  private final Random random;
  private final List<String> broken = new ArrayList<>();

  private DistributionModel(long seed, Set<Guard> guards) {
    random = new Random(seed);
    view = new ReplicatedView(guards);
  }

  /** What breaks in the order of events that a seed draws; empty where nothing does. */
  static List<String> play(long seed, Set<Guard> guards) {
    DistributionModel model = new DistributionModel(seed, guards);
    for (int i = 0; i < STEPS && model.broken.isEmpty(); i++) {
      model.step();
      model.check();
    }
    if (model.broken.isEmpty()) {
      model.converge();
    }
    return model.broken;
  }

  private void step() {
    RecordTable distributor = distributors[random.nextInt(2)];
    String name = NAMES.get(random.nextInt(NAMES.size()));
    switch (random.nextInt(12)) {
      case 0, 1 -> engine.change(name, "d" + random.nextInt(1000));
      case 2 -> engine.change(name, null);
      case 3, 4 -> follow(distributor);
      case 5, 6 -> ask(distributor);
      case 7, 8 -> deliver();
      case 9 -> {
        if (!view.follows(name)
            && fetches.isEmpty()
            && !distributor.version().equals(Version.NONE)) {
          view.beginEdition();
          fetch(name, distributor);
        }
      }
      case 10 -> fetches.entrySet().removeIf(each -> added(each.getKey(), each.getValue()));
      default -> rarely(name);
    }
  }

  private void rarely(String name) {
    switch (random.nextInt(5)) {
      case 0 -> distributors[random.nextInt(2)] = new RecordTable(4, 1000);
      case 1 -> {
        view.unfollow(name);
        inForce.remove(name);
        lastInForce.remove(name);
      }
      case 2 -> {
        if (random.nextInt(3) == 0) {
          engine.restore(random.nextInt(3));
        }
      }
      case 3 -> resubscribe();
      default -> answers.clear();
    }
  }

  /** A distributor reads what it lacks, one change or all, or a snapshot where there is a gap. */
  private void follow(RecordTable distributor) {
    Version behind = distributor.version();
    if (behind.incarnation() != engine.version.incarnation()
        || behind.isBefore(engine.restoredAt)
        || random.nextInt(8) == 0) {
      distributor.install(
          engine.snapshot(engine.restoredAt.isBefore(behind) ? behind : engine.restoredAt));
      return;
    }
    int most = 1 + random.nextInt(6);
    for (RecordChange change : engine.history) {
      if (behind.isBefore(change.version()) && most-- > 0) {
        distributor.apply(change);
      }
    }
  }

  private void ask(RecordTable distributor) {
    Update update =
        distributor.version().equals(Version.NONE)
            ? null
            : distributor.updateFor(view.version(), SubscriptionFilter.ofNames(toldNames));
    if (update != null) {
      answers.add(new InFlight(update, toldEdition));
    }
  }

  /** Distributors hear the names with the edition that they make up. */
  private void tell(Set<String> names) {
    toldNames = names;
    toldEdition = view.edition();
  }

  private void fetch(String name, RecordTable distributor) {
    Set<String> names = new HashSet<>(toldNames);
    names.add(name);
    tell(names);
    fetches.put(name, new Fetched(distributor.record(name), distributor.version()));
  }

  /** Another distributor is followed: answers of calls to the one before count no more. */
  private void resubscribe() {
    fetches.clear();
    answers.clear();
    tell(view.names());
  }

  private boolean added(String name, Fetched fetched) {
    if (fetched.record() != null && view.follow(name, fetched.record(), fetched.asOf())) {
      took(view.record(name));
    }
    return true;
  }

  /** Any of those on their way, which may stay to come once more. */
  private void deliver() {
    if (!answers.isEmpty()) {
      int which = random.nextInt(answers.size());
      InFlight answer = random.nextInt(4) == 0 ? answers.get(which) : answers.remove(which);
      Version before = view.version();
      view.apply(answer.update(), answer.edition()).forEach(this::took);
      if (view.version().isBefore(before)) {
        broken.add("the view stepped back from " + before + " to " + view.version());
      }
    }
  }

  private void took(RecordChange change) {
    Version before = lastInForce.put(change.name(), change.version());
    if (before != null && change.version().isBefore(before)) {
      broken.add(change + " came into force after " + before);
    }
    if (change.isRemoval()) {
      inForce.remove(change.name());
    } else {
      inForce.put(change.name(), change);
    }
  }

  /** Each name that is followed has the engine's state as of the view's version, or a newer one. */
  private void check() {
    if (view.version().incarnation() != engine.version.incarnation()) {
      return;
    }
    Map<String, RecordChange> due = engine.recordsAt(view.version());
    for (String name : view.names()) {
      RecordChange held = view.record(name);
      boolean newer = held != null && view.version().isBefore(held.version());
      if (!newer && !Objects.equals(held, due.get(name))) {
        broken.add(
            "at " + view.version() + " " + name + " is " + held + " and not " + due.get(name));
      }
      if (!Objects.equals(held, inForce.get(name))) {
        broken.add(held + " is held and " + inForce.get(name) + " in force");
      }
    }
  }

  private void converge() {
    RecordTable distributor = distributors[0];
    distributor.install(engine.snapshot(engine.version));
    answers.clear();
    fetches.clear();
    ask(distributor);
    if (!answers.isEmpty()) {
      deliver();
    }
    check();
    if (!view.version().equals(engine.version)) {
      broken.add("it stays at " + view.version() + " of " + engine.version);
    }
  }
}

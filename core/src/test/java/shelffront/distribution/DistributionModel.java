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
 * Runs the production classes through random orders of events. The model has a change store that
 * accepts changes and may be restored from older data, two distributors that follow it at their own
 * pace and may restart, and a subscriber whose requests and responses may be delayed, lost,
 * duplicated and reordered.
 */
final class DistributionModel {

  private static final int STEPS = 120;
  private static final List<String> NAMES = List.of("a", "b", "c");

  /** The history of the change store; a restore drops its end and starts a new incarnation. */
  private static final class StoreModel {

    private final List<RecordChange> history = new ArrayList<>();
    private Version version = new Version(1, 0);
    private Version restoredAt = version; // changes up to here are available by snapshot only

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

    /** Reads a store that changes meanwhile: a version, the records, then the changes since. */
    Update.Snapshot snapshot(Version readFirst) {
      List<RecordChange> since =
          history.stream().filter(change -> readFirst.isBefore(change.version())).toList();
      return Update.Snapshot.assemble(version, List.copyOf(recordsAt(version).values()), since);
    }
  }

  /** A response in flight, with the edition of names that its request was for. */
  private record InFlight(Update update, long edition) {}

  private record Fetched(RecordChange record, Version asOf) {}

  private final StoreModel store = new StoreModel();
  private final RecordTable[] distributors = {new RecordTable(4, 1000), new RecordTable(4, 1000)};
  private final ReplicatedView view;
  private Set<String> subscribedNames = Set.of();
  private long subscribedEdition;
  private final List<InFlight> responses = new ArrayList<>();
  private final Map<String, Fetched> fetches = new HashMap<>();
  private final Map<String, RecordChange> inForce = new HashMap<>();
  private final Map<String, Version> lastInForce = new HashMap<>(); // includes removals
  private final Random random;
  private final List<String> violations = new ArrayList<>();

  private DistributionModel(long seed, Set<Guard> guards) {
    random = new Random(seed);
    view = new ReplicatedView(guards);
  }

  /** Runs the order of events of a seed and returns the violations. */
  static List<String> run(long seed, Set<Guard> guards) {
    DistributionModel model = new DistributionModel(seed, guards);
    for (int i = 0; i < STEPS && model.violations.isEmpty(); i++) {
      model.step();
      model.check();
    }
    if (model.violations.isEmpty()) {
      model.converge();
    }
    return model.violations;
  }

  private void step() {
    RecordTable distributor = distributors[random.nextInt(2)];
    String name = NAMES.get(random.nextInt(NAMES.size()));
    switch (random.nextInt(12)) {
      case 0, 1 -> store.change(name, "d" + random.nextInt(1000));
      case 2 -> store.change(name, null);
      case 3, 4 -> follow(distributor);
      case 5, 6 -> poll(distributor);
      case 7, 8 -> deliver();
      case 9 -> {
        if (!view.follows(name)
            && fetches.isEmpty()
            && !distributor.version().equals(Version.NONE)) {
          view.beginEdition();
          fetch(name, distributor);
        }
      }
      case 10 -> fetches.entrySet().removeIf(each -> completeFetch(each.getKey(), each.getValue()));
      default -> rareStep(name);
    }
  }

  private void rareStep(String name) {
    switch (random.nextInt(5)) {
      case 0 -> distributors[random.nextInt(2)] = new RecordTable(4, 1000);
      case 1 -> {
        view.unfollow(name);
        inForce.remove(name);
        lastInForce.remove(name);
      }
      case 2 -> {
        if (random.nextInt(3) == 0) {
          store.restore(random.nextInt(3));
        }
      }
      case 3 -> resubscribe();
      default -> responses.clear();
    }
  }

  /** A distributor reads some or all missing changes, or a snapshot if there is a gap. */
  private void follow(RecordTable distributor) {
    Version behind = distributor.version();
    if (behind.incarnation() != store.version.incarnation()
        || behind.isBefore(store.restoredAt)
        || random.nextInt(8) == 0) {
      distributor.install(
          store.snapshot(store.restoredAt.isBefore(behind) ? behind : store.restoredAt));
      return;
    }
    int most = 1 + random.nextInt(6);
    for (RecordChange change : store.history) {
      if (behind.isBefore(change.version()) && most-- > 0) {
        distributor.apply(change);
      }
    }
  }

  private void poll(RecordTable distributor) {
    Update update =
        distributor.version().equals(Version.NONE)
            ? null
            : distributor.updateFor(view.version(), SubscriptionFilter.ofNames(subscribedNames));
    if (update != null) {
      responses.add(new InFlight(update, subscribedEdition));
    }
  }

  /** Distributors receive the names together with their edition. */
  private void sendNames(Set<String> names) {
    subscribedNames = names;
    subscribedEdition = view.edition();
  }

  private void fetch(String name, RecordTable distributor) {
    Set<String> names = new HashSet<>(subscribedNames);
    names.add(name);
    sendNames(names);
    fetches.put(name, new Fetched(distributor.record(name), distributor.version()));
  }

  /** Switches distributors; responses of the previous one are discarded. */
  private void resubscribe() {
    fetches.clear();
    responses.clear();
    sendNames(view.names());
  }

  private boolean completeFetch(String name, Fetched fetched) {
    if (fetched.record() != null && view.follow(name, fetched.record(), fetched.asOf())) {
      putInForce(view.record(name));
    }
    return true;
  }

  /** Delivers a random response in flight, which may stay to be delivered again. */
  private void deliver() {
    if (!responses.isEmpty()) {
      int which = random.nextInt(responses.size());
      InFlight response = random.nextInt(4) == 0 ? responses.get(which) : responses.remove(which);
      Version before = view.version();
      view.apply(response.update(), response.edition()).forEach(this::putInForce);
      if (view.version().isBefore(before)) {
        violations.add(
            "the version of the view decreased from " + before + " to " + view.version());
      }
    }
  }

  private void putInForce(RecordChange change) {
    Version before = lastInForce.put(change.name(), change.version());
    if (before != null && change.version().isBefore(before)) {
      violations.add(change + " came into force after " + before);
    }
    if (change.isRemoval()) {
      inForce.remove(change.name());
    } else {
      inForce.put(change.name(), change);
    }
  }

  /** Each followed name must have the stored state as of the view's version, or a newer one. */
  private void check() {
    if (view.version().incarnation() != store.version.incarnation()) {
      return;
    }
    Map<String, RecordChange> expected = store.recordsAt(view.version());
    for (String name : view.names()) {
      RecordChange held = view.record(name);
      boolean newer = held != null && view.version().isBefore(held.version());
      if (!newer && !Objects.equals(held, expected.get(name))) {
        violations.add(
            "at version "
                + view.version()
                + " the view holds "
                + held
                + " for "
                + name
                + ", expected "
                + expected.get(name));
      }
      if (!Objects.equals(held, inForce.get(name))) {
        violations.add("the view holds " + held + ", but " + inForce.get(name) + " is in force");
      }
    }
  }

  private void converge() {
    RecordTable distributor = distributors[0];
    distributor.install(store.snapshot(store.version));
    responses.clear();
    fetches.clear();
    poll(distributor);
    if (!responses.isEmpty()) {
      deliver();
    }
    check();
    if (!view.version().equals(store.version)) {
      violations.add(
          "the view stays at version " + view.version() + ", the store is at " + store.version);
    }
  }
}

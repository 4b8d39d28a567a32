package shelffront.lab.scale;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import shelffront.distribution.Version;

/**
 * Holds what was in force at each gateway against the changes that the engine acknowledged. All
 * processes share a machine, so their monotonic clocks are one. Times are microseconds.
 */
final class DistributionHistoryChecker {

  /** A change that was acknowledged; its version is that of a removal where it removes. */
  record Acknowledged(String name, Version version, boolean removal, long at) {}

  /**
   * A time in which some gateways could not be reached, so that changes count for them from its
   * end.
   */
  record Cut(String zone, long from, long until) {

    /** Of every zone. */
    static final String ALL = "";

    boolean concerns(String gatewayZone) {
      return zone.equals(ALL) || zone.equals(gatewayZone);
    }
  }

  /** What was in force from a time on; null: no record. */
  private record State(long at, Version version) {}

  private final Map<String, TreeMap<Long, List<State>>> statesByIncarnation =
      new HashMap<>(); // by gateway and name, by life
  private final Map<String, String> zones = new HashMap<>();
  private final List<String> broken = new ArrayList<>();
  private final List<Long> delaysMicros = new ArrayList<>();
  private long incarnation;

  /** Reads the history of the hollow gateways of a zone. */
  void add(String zone, List<String> lines) {
    for (String line : lines) {
      String[] parts = line.split(" ");
      if (parts.length < 3) {
        continue; // a process was killed in the middle of its last line
      }
      if (parts[1].equals("life")) {
        incarnation = Long.parseLong(parts[0]);
        continue;
      }
      Version version =
          parts.length < 5 ? null : new Version(Long.parseLong(parts[3]), Long.parseLong(parts[4]));
      zones.put(parts[1], zone);
      List<State> states =
          statesByIncarnation
              .computeIfAbsent(parts[1] + " " + parts[2], key -> new TreeMap<>())
              .computeIfAbsent(incarnation, key -> new ArrayList<>());
      State last = states.isEmpty() ? null : states.get(states.size() - 1);
      if (last != null
          && last.version() != null
          && version != null
          && version.isBefore(last.version())) {
        broken.add(
            "step back: "
                + parts[1]
                + " "
                + parts[2]
                + " from "
                + last.version()
                + " to "
                + version);
      }
      states.add(new State(Long.parseLong(parts[0]), version));
    }
  }

  /**
   * Every change has to be in force, or one after it, within the bound from its acknowledgement, or
   * from the end of the last cut that touches that time.
   */
  void check(
      String name, List<String> gateways, List<Acknowledged> changes, List<Cut> cuts, long bound) {
    for (int i = 0; i < changes.size(); i++) {
      Acknowledged change = changes.get(i);
      for (String gateway : gateways) {
        long from = reachableFrom(zones.getOrDefault(gateway, ""), change.at(), cuts, bound);
        Long inForceAt =
            inForceAt(gateway + " " + name, changes.subList(i, changes.size()), change);
        if (inForceAt == null) {
          broken.add("never in force: " + change + " at " + gateway);
        } else if (inForceAt > from + bound) {
          broken.add(
              "late by " + (inForceAt - from - bound) / 1000 + " ms: " + change + " at " + gateway);
        } else {
          delaysMicros.add(Math.max(0, inForceAt - from));
        }
      }
    }
  }

  private static long reachableFrom(String zone, long atMicros, List<Cut> cuts, long bound) {
    long from = atMicros;
    for (Cut cut : cuts) { // in their order
      if (cut.concerns(zone) && cut.from() < from + bound && cut.until() > from) {
        from = cut.until();
      }
    }
    return from;
  }

  /** When this change, or one that replaced it, came into force. */
  private Long inForceAt(String key, List<Acknowledged> thisAndLater, Acknowledged change) {
    Long first = null;
    for (List<State> states : statesByIncarnation.getOrDefault(key, new TreeMap<>()).values()) {
      for (State state : states) {
        boolean covers =
            state.version() != null
                ? !state.version().isBefore(change.version())
                : state.at() >= change.at()
                    && thisAndLater.stream().anyMatch(Acknowledged::removal);
        if (covers && (first == null || state.at() < first)) {
          first = state.at();
        }
      }
    }
    return first;
  }

  List<String> broken() {
    return broken;
  }

  /** Microseconds from when each change could reach a gateway until it was in force there. */
  List<Long> delaysMicros() {
    return delaysMicros;
  }
}

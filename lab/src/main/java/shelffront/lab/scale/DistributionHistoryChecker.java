package shelffront.lab.scale;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import shelffront.distribution.Version;

/**
 * Checks what was in force at each gateway against the changes that the coordination store
 * acknowledged. The processes run on one machine and therefore share a monotonic clock. Times are
 * in microseconds.
 */
final class DistributionHistoryChecker {

  /** An acknowledged change or removal, and the version that it created. */
  record Acknowledged(String name, Version version, boolean removal, long at) {}

  /**
   * A period in which the gateways of a zone were unreachable. The time limit for a change starts
   * for them at the end of the period.
   */
  record Cut(String zone, long from, long until) {

    /** Affects every zone. */
    static final String ALL = "";

    boolean affects(String gatewayZone) {
      return zone.equals(ALL) || zone.equals(gatewayZone);
    }
  }

  /** The version in force from a time on; null after a removal. */
  private record State(long at, Version version) {}

  private final Map<String, TreeMap<Long, List<State>>> statesByIncarnation =
      new HashMap<>(); // by "GATEWAY NAME", then by process incarnation
  private final Map<String, String> zones = new HashMap<>();
  private final List<String> violations = new ArrayList<>();
  private final List<Long> delaysMicros = new ArrayList<>();
  private long incarnation;

  /** Adds the history of the hollow gateways of a zone. */
  void add(String zone, List<String> lines) {
    for (String line : lines) {
      String[] parts = line.split(" ");
      if (parts.length < 3) {
        continue; // the process was killed while it wrote its last line
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
        violations.add(
            "version regression: gateway "
                + parts[1]
                + " replaced "
                + last.version()
                + " of record "
                + parts[2]
                + " by "
                + version);
      }
      states.add(new State(Long.parseLong(parts[0]), version));
    }
  }

  /**
   * Checks that each change, or a later one, is in force at every gateway within the bound. The
   * bound starts at the acknowledgement, or at the end of the last cut that overlaps this period.
   */
  void check(
      String name,
      List<String> gateways,
      List<Acknowledged> changes,
      List<Cut> cuts,
      long boundMicros) {
    for (int i = 0; i < changes.size(); i++) {
      Acknowledged change = changes.get(i);
      for (String gateway : gateways) {
        long from = reachableFrom(zones.getOrDefault(gateway, ""), change.at(), cuts, boundMicros);
        Long inForceAt =
            inForceAt(gateway + " " + name, changes.subList(i, changes.size()), change);
        if (inForceAt == null) {
          violations.add("never in force: " + change + " at gateway " + gateway);
        } else if (inForceAt > from + boundMicros) {
          violations.add(
              "late by "
                  + (inForceAt - from - boundMicros) / 1000
                  + " ms: "
                  + change
                  + " at gateway "
                  + gateway);
        } else {
          delaysMicros.add(Math.max(0, inForceAt - from));
        }
      }
    }
  }

  private static long reachableFrom(
      String zone, long acknowledgedAt, List<Cut> cuts, long boundMicros) {
    long from = acknowledgedAt;
    for (Cut cut : cuts) { // in order of time
      if (cut.affects(zone) && cut.from() < from + boundMicros && cut.until() > from) {
        from = cut.until();
      }
    }
    return from;
  }

  /** The time at which this change or a later one came into force, or null if it never did. */
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

  List<String> violations() {
    return violations;
  }

  /** Time from when each change could reach a gateway until it was in force there, in us. */
  List<Long> delaysMicros() {
    return delaysMicros;
  }
}

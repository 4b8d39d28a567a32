package shelffront.lab.faultinjection;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Checks the rollout histories of all gateway processes against each other. The processes run on
 * one machine and therefore share a monotonic clock. A stage counts as in force until the next line
 * of the same process and subject or until the lease expires, whichever is sooner, because a
 * process that was killed or suspended could have acted until then.
 */
public final class RolloutHistoryChecker {

  private static final ObjectMapper JSON = new ObjectMapper();

  /** A stage in force at one gateway; times are monotonic, in microseconds. */
  record Span(String who, String subject, long epoch, int stage, long from, long until) {}

  private record Edge(long at, boolean begins, Span span) {}

  private final Map<String, List<Span>> spans = new TreeMap<>();
  private final Map<String, TreeMap<Long, String>> leaderByEpoch = new TreeMap<>();
  private final Map<String, TreeMap<Long, Integer>> stageByEpoch = new TreeMap<>();
  private final List<String> violations = new ArrayList<>();

  public static RolloutHistoryChecker read(List<Path> files) throws IOException {
    RolloutHistoryChecker checker = new RolloutHistoryChecker();
    for (Path file : files) {
      if (Files.exists(file)) {
        checker.add(Files.readAllLines(file));
      }
    }
    checker.check();
    return checker;
  }

  static RolloutHistoryChecker of(List<List<String>> files) throws IOException {
    RolloutHistoryChecker checker = new RolloutHistoryChecker();
    for (List<String> lines : files) {
      checker.add(lines);
    }
    checker.check();
    return checker;
  }

  private void add(List<String> lines) throws IOException {
    Map<String, JsonNode> last = new HashMap<>();
    for (String line : lines) {
      JsonNode entry;
      try {
        entry = JSON.readTree(line);
      } catch (com.fasterxml.jackson.core.JsonProcessingException e) {
        continue; // the process was killed while it wrote its last line
      }
      String subject = entry.path("subject").asText();
      if (entry.path("what").asText().equals("move")) {
        String previousLeader =
            leaderByEpoch
                .computeIfAbsent(subject, key -> new TreeMap<>())
                .putIfAbsent(entry.path("epoch").asLong(), entry.path("who").asText());
        stageByEpoch
            .computeIfAbsent(subject, key -> new TreeMap<>())
            .put(entry.path("epoch").asLong(), entry.path("stage").asInt());
        if (previousLeader != null) {
          violations.add(
              "more than one leader: epoch "
                  + entry.path("epoch")
                  + " of subject "
                  + subject
                  + " was started by "
                  + previousLeader
                  + " and "
                  + entry.path("who").asText());
        }
        continue;
      }
      String key = entry.path("who").asText() + " " + subject;
      endSpan(last.put(key, entry), entry.path("at").asLong());
    }
    last.values().forEach(entry -> endSpan(entry, Long.MAX_VALUE));
  }

  private void endSpan(JsonNode line, long next) {
    if (line != null && line.path("what").asText().equals("force")) {
      Span span =
          new Span(
              line.path("who").asText(),
              line.path("subject").asText(),
              line.path("epoch").asLong(),
              line.path("stage").asInt(),
              line.path("at").asLong(),
              Math.min(next, line.path("until").asLong()));
      spans.computeIfAbsent(span.subject(), key -> new ArrayList<>()).add(span);
    }
  }

  private void check() {
    spans.forEach(
        (subject, list) -> {
          List<Edge> edges = new ArrayList<>();
          for (Span span : list) {
            if (span.from() < span.until()) {
              edges.add(new Edge(span.from(), true, span));
              edges.add(new Edge(span.until(), false, span));
            }
          }
          // At equal times, a span that ends is removed before one that begins.
          edges.sort(Comparator.comparingLong(Edge::at).thenComparing(Edge::begins));
          List<Span> inForce = new ArrayList<>();
          for (Edge edge : edges) {
            if (!edge.begins()) {
              inForce.remove(edge.span());
              continue;
            }
            for (Span other : inForce) {
              if (Math.abs(other.stage() - edge.span().stage()) > 1) {
                violations.add("stages not adjacent: " + edge.span() + " overlaps " + other);
              }
              if (other.epoch() == edge.span().epoch() && other.stage() != edge.span().stage()) {
                violations.add(
                    "more than one stage in an epoch: " + edge.span() + " overlaps " + other);
              }
            }
            inForce.add(edge.span());
          }
        });
    stageByEpoch.forEach(
        (subject, byEpoch) -> {
          Integer previousStage = null;
          long previousEpoch = 0;
          for (Map.Entry<Long, Integer> each : byEpoch.entrySet()) {
            boolean next = each.getKey() == previousEpoch + 1;
            if (previousStage != null && next && Math.abs(each.getValue() - previousStage) != 1) {
              violations.add(
                  "more than one step: "
                      + subject
                      + " from stage "
                      + previousStage
                      + " to "
                      + each.getValue()
                      + " in epoch "
                      + each.getKey());
            }
            previousStage = each.getValue();
            previousEpoch = each.getKey();
          }
        });
  }

  /** Descriptions of all violations; empty if there are none. */
  public List<String> violations() {
    return violations;
  }

  /** Number of stage changes that rollout leaders recorded. */
  public int moves() {
    return leaderByEpoch.values().stream().mapToInt(Map::size).sum();
  }

  /** Number of gateway processes at which a stage was in force. */
  public long gatewayCount() {
    return spans.values().stream().flatMap(List::stream).map(Span::who).distinct().count();
  }

  /** Number of different rollout leaders that changed the stage of a subject. */
  public long leaderCount() {
    return leaderByEpoch.values().stream()
        .flatMap(leaders -> leaders.values().stream())
        .distinct()
        .count();
  }
}

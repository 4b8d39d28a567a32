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
    RolloutHistoryChecker all = new RolloutHistoryChecker();
    for (Path file : files) {
      if (Files.exists(file)) {
        all.add(Files.readAllLines(file));
      }
    }
    all.check();
    return all;
  }

  static RolloutHistoryChecker of(List<List<String>> files) throws IOException {
    RolloutHistoryChecker all = new RolloutHistoryChecker();
    for (List<String> lines : files) {
      all.add(lines);
    }
    all.check();
    return all;
  }

  private void add(List<String> lines) throws IOException {
    Map<String, JsonNode> last = new HashMap<>();
    for (String line : lines) {
      JsonNode o;
      try {
        o = JSON.readTree(line);
      } catch (com.fasterxml.jackson.core.JsonProcessingException e) {
        continue; // the process was killed while it wrote its last line
      }
      String subject = o.path("subject").asText();
      if (o.path("what").asText().equals("move")) {
        String before =
            leaderByEpoch
                .computeIfAbsent(subject, step -> new TreeMap<>())
                .putIfAbsent(o.path("epoch").asLong(), o.path("who").asText());
        stageByEpoch
            .computeIfAbsent(subject, step -> new TreeMap<>())
            .put(o.path("epoch").asLong(), o.path("stage").asInt());
        if (before != null) {
          violations.add(
              "more than one leader: epoch "
                  + o.path("epoch")
                  + " of subject "
                  + subject
                  + " was started by "
                  + before
                  + " and "
                  + o.path("who").asText());
        }
        continue;
      }
      String key = o.path("who").asText() + " " + subject;
      end(last.put(key, o), o.path("at").asLong());
    }
    last.values().forEach(o -> end(o, Long.MAX_VALUE));
  }

  private void end(JsonNode line, long next) {
    if (line != null && line.path("what").asText().equals("force")) {
      Span span =
          new Span(
              line.path("who").asText(),
              line.path("subject").asText(),
              line.path("epoch").asLong(),
              line.path("stage").asInt(),
              line.path("at").asLong(),
              Math.min(next, line.path("until").asLong()));
      spans.computeIfAbsent(span.subject(), step -> new ArrayList<>()).add(span);
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
          List<Span> now = new ArrayList<>();
          for (Edge edge : edges) {
            if (!edge.begins()) {
              now.remove(edge.span());
              continue;
            }
            for (Span other : now) {
              if (Math.abs(other.stage() - edge.span().stage()) > 1) {
                violations.add("stages not adjacent: " + edge.span() + " overlaps " + other);
              }
              if (other.epoch() == edge.span().epoch() && other.stage() != edge.span().stage()) {
                violations.add(
                    "more than one stage in an epoch: " + edge.span() + " overlaps " + other);
              }
            }
            now.add(edge.span());
          }
        });
    stageByEpoch.forEach(
        (subject, byEpoch) -> {
          Integer before = null;
          long epoch = 0;
          for (Map.Entry<Long, Integer> each : byEpoch.entrySet()) {
            boolean next = each.getKey() == epoch + 1;
            if (before != null && next && Math.abs(each.getValue() - before) != 1) {
              violations.add(
                  "more than one step: "
                      + subject
                      + " from stage "
                      + before
                      + " to "
                      + each.getValue()
                      + " in epoch "
                      + each.getKey());
            }
            before = each.getValue();
            epoch = each.getKey();
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

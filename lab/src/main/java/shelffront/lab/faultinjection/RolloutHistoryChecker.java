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
 * Holds the histories of all processes against each other. They share a machine, so their monotonic
 * clocks are one. What came into force counts until the next line of its process, or the end of its
 * lease if that is sooner: a process that was killed or stopped could have acted until then.
 */
public final class RolloutHistoryChecker {

  private static final ObjectMapper JSON = new ObjectMapper();

  /** A stage in force at one gateway, from and until by the monotonic clock in microseconds. */
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
        continue; // a process was killed in the middle of its last line
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
              "one owner: epoch "
                  + o.path("epoch")
                  + " of "
                  + subject
                  + " was begun by "
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
          // What ends at a moment ends before what begins there.
          edges.sort(Comparator.comparingLong(Edge::at).thenComparing(Edge::begins));
          List<Span> now = new ArrayList<>();
          for (Edge edge : edges) {
            if (!edge.begins()) {
              now.remove(edge.span());
              continue;
            }
            for (Span other : now) {
              if (Math.abs(other.stage() - edge.span().stage()) > 1) {
                violations.add("adjacent: " + edge.span() + " beside " + other);
              }
              if (other.epoch() == edge.span().epoch() && other.stage() != edge.span().stage()) {
                violations.add("one stage an epoch: " + edge.span() + " beside " + other);
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
                  "one step: " + subject + " from stage " + before + " to " + each.getValue());
            }
            before = each.getValue();
            epoch = each.getKey();
          }
        });
  }

  /** What does not hold, in words; empty where all does. */
  public List<String> violations() {
    return violations;
  }

  /** How many moves owners noted. */
  public int moves() {
    return leaderByEpoch.values().stream().mapToInt(Map::size).sum();
  }

  /** How many processes had something in force. */
  public long gatewayCount() {
    return spans.values().stream().flatMap(List::stream).map(Span::who).distinct().count();
  }

  /** How many different owners moved a subject on. */
  public long leaderCount() {
    return leaderByEpoch.values().stream()
        .flatMap(leaders -> leaders.values().stream())
        .distinct()
        .count();
  }
}

package shelffront.rolloutcontrol;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import shelffront.rollout.LeaseTimings;
import shelffront.tenant.TenantSpecCodec;
import shelffront.tenant.TenantSpecCodec.SpecException;

/**
 * The part {@code fleet} of a hosted gateway's settings.
 *
 * @param engineHost the engine's agent
 * @param fleet names the keys: gateways of one fleet share it
 * @param gatewayName of this gateway, its own in the fleet
 * @param stagesBySubject by name, the stages of each in order; the first is in force at the
 *     beginning
 * @param shards threads that keep leases, each with its part of the subjects
 * @param historyFile where what came into force is written, a JSON object a line; null: nowhere
 */
public record RolloutConfig(
    String engineHost,
    int enginePort,
    String fleet,
    String gatewayName,
    LeaseTimings leaseTimings,
    Map<String, List<String>> stagesBySubject,
    int shards,
    Path historyFile) {

  private static final Set<String> NAMES =
      Set.of(
          "engine",
          "fleet",
          "name",
          "leaseMs",
          "actMs",
          "drift",
          "suspectMs",
          "subjects",
          "shards",
          "history");
  private static final String WORD = "[a-zA-Z0-9][a-zA-Z0-9_.-]{0,63}";

  /** Reads the object at a pointer; throws with the pointer to the first field at fault. */
  public static RolloutConfig read(JsonNode o, String at) throws SpecException {
    if (!o.isObject()) {
      throw new SpecException(at, "is not an object");
    }
    TenantSpecCodec.onlyFields(o, at, NAMES);
    String engine = o.path("engine").asText();
    if (!engine.matches("[0-9a-zA-Z.-]+:[0-9]{1,5}")) {
      throw new SpecException(at + "/engine", "is not an address host:port");
    }
    int colon = engine.lastIndexOf(':');
    long lease = number(o, at, "leaseMs", 300, 600_000, 6_000);
    LeaseTimings bounds =
        new LeaseTimings(
            lease * 1000,
            number(o, at, "actMs", 0, 600_000, 3_000) * 1000,
            drift(o, at),
            number(o, at, "suspectMs", lease, 6_000_000, lease) * 1000);
    Map<String, List<String>> subjects = new LinkedHashMap<>();
    for (Iterator<Map.Entry<String, JsonNode>> each = o.path("subjects").fields();
        each.hasNext(); ) {
      Map.Entry<String, JsonNode> subject = each.next();
      subjects.put(
          word(subject.getKey(), at + "/subjects"),
          stages(subject.getValue(), at + "/subjects/" + subject.getKey()));
    }
    if (subjects.isEmpty()) {
      throw new SpecException(at + "/subjects", "names no subject");
    }
    return new RolloutConfig(
        engine.substring(0, colon),
        Integer.parseInt(engine.substring(colon + 1)),
        word(o.path("fleet").asText(), at + "/fleet"),
        word(o.path("name").asText(), at + "/name"),
        bounds,
        subjects,
        (int) number(o, at, "shards", 1, 64, 2),
        o.has("history") ? Path.of(o.path("history").asText()) : null);
  }

  private static List<String> stages(JsonNode list, String at) throws SpecException {
    List<String> stages = new ArrayList<>();
    for (JsonNode stage : list) {
      stages.add(word(stage.asText(), at + "/" + stages.size()));
    }
    if (stages.size() < 2 || new HashSet<>(stages).size() < stages.size()) {
      throw new SpecException(at, "is not a list of two stages or more, each of another name");
    }
    return List.copyOf(stages);
  }

  private static String word(String text, String at) throws SpecException {
    if (!text.matches(WORD)) {
      throw new SpecException(at, "is not a name of letters, digits, dots, dashes and underscores");
    }
    return text;
  }

  private static double drift(JsonNode o, String at) throws SpecException {
    JsonNode value = o.path("drift");
    if (!value.isMissingNode()
        && !(value.isNumber() && value.asDouble() >= 0 && value.asDouble() <= 0.5)) {
      throw new SpecException(at + "/drift", "is not a number from 0 to 0.5");
    }
    return value.asDouble(0.01);
  }

  private static long number(JsonNode o, String at, String name, long least, long most, long absent)
      throws SpecException {
    JsonNode value = o.path(name);
    if (!value.isMissingNode()
        && !(value.isIntegralNumber() && value.asLong() >= least && value.asLong() <= most)) {
      throw new SpecException(
          at + "/" + name, "is not a whole number from " + least + " to " + most);
    }
    return value.asLong(absent);
  }
}

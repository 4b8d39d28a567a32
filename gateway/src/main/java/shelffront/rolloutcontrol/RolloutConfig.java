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
 * The {@code fleet} section of the settings of a multi-tenant gateway.
 *
 * @param engineHost the host of the coordination store's agent
 * @param enginePort the port of the coordination store's agent
 * @param fleet the name of the fleet, which is part of all keys in the coordination store
 * @param gatewayName the name of this gateway, unique within the fleet
 * @param leaseTimings the timeouts of leases, equal at all gateways of the fleet
 * @param stagesBySubject the ordered stages of each subject, by subject name; a new subject starts
 *     at its first stage
 * @param shards the number of threads that maintain leases; the subjects are spread over them
 * @param historyFile the file for {@link RolloutHistory}, or null for none
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

  private static final Set<String> FIELDS =
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
  private static final String NAME_PATTERN = "[a-zA-Z0-9][a-zA-Z0-9_.-]{0,63}";
  private static final String ADDRESS_PATTERN = "[0-9a-zA-Z.-]+:[0-9]{1,5}";
  private static final long MICROS_PER_MILLI = 1000;
  private static final long MIN_LEASE_MILLIS = 300;
  private static final long MAX_LEASE_MILLIS = 600_000;
  private static final long DEFAULT_LEASE_MILLIS = 6_000;
  private static final long MAX_OPERATION_MILLIS = 600_000;
  private static final long DEFAULT_OPERATION_MILLIS = 3_000;
  private static final long MAX_SUSPECT_MILLIS = 6_000_000;
  private static final double MAX_CLOCK_DRIFT = 0.5;
  private static final double DEFAULT_CLOCK_DRIFT = 0.01;
  private static final int MAX_SHARDS = 64;
  private static final int DEFAULT_SHARDS = 2;
  private static final int MIN_STAGES = 2;

  /**
   * Reads the section from JSON.
   *
   * @param pointer the JSON pointer of the section
   * @throws SpecException with the pointer of the first invalid field
   */
  public static RolloutConfig read(JsonNode json, String pointer) throws SpecException {
    if (!json.isObject()) {
      throw new SpecException(pointer, "expected a JSON object");
    }
    TenantSpecCodec.rejectUnknownFields(json, pointer, FIELDS);
    String engine = json.path("engine").asText();
    if (!engine.matches(ADDRESS_PATTERN)) {
      throw new SpecException(
          pointer + "/engine",
          "expected a host and port such as 127.0.0.1:8500, but found \"" + engine + "\"");
    }
    int colon = engine.lastIndexOf(':');
    LeaseTimings leaseTimings = leaseTimings(json, pointer);
    Map<String, List<String>> stagesBySubject =
        stagesBySubject(json.path("subjects"), pointer + "/subjects");
    return new RolloutConfig(
        engine.substring(0, colon),
        Integer.parseInt(engine.substring(colon + 1)),
        name(json.path("fleet").asText(), pointer + "/fleet"),
        name(json.path("name").asText(), pointer + "/name"),
        leaseTimings,
        stagesBySubject,
        (int) wholeNumber(json, pointer, "shards", new Range(1, MAX_SHARDS, DEFAULT_SHARDS)),
        json.has("history") ? Path.of(json.path("history").asText()) : null);
  }

  private static LeaseTimings leaseTimings(JsonNode json, String pointer) throws SpecException {
    Range leaseRange = new Range(MIN_LEASE_MILLIS, MAX_LEASE_MILLIS, DEFAULT_LEASE_MILLIS);
    long leaseMillis = wholeNumber(json, pointer, "leaseMs", leaseRange);
    Range operationRange = new Range(0, MAX_OPERATION_MILLIS, DEFAULT_OPERATION_MILLIS);
    Range suspectRange = new Range(leaseMillis, MAX_SUSPECT_MILLIS, leaseMillis);
    return new LeaseTimings(
        leaseMillis * MICROS_PER_MILLI,
        wholeNumber(json, pointer, "actMs", operationRange) * MICROS_PER_MILLI,
        clockDrift(json, pointer),
        wholeNumber(json, pointer, "suspectMs", suspectRange) * MICROS_PER_MILLI);
  }

  private static Map<String, List<String>> stagesBySubject(JsonNode subjects, String pointer)
      throws SpecException {
    Map<String, List<String>> stagesBySubject = new LinkedHashMap<>();
    Iterator<Map.Entry<String, JsonNode>> fields = subjects.fields();
    while (fields.hasNext()) {
      Map.Entry<String, JsonNode> subject = fields.next();
      stagesBySubject.put(
          name(subject.getKey(), pointer),
          stages(subject.getValue(), pointer + "/" + subject.getKey()));
    }
    if (stagesBySubject.isEmpty()) {
      throw new SpecException(pointer, "lists no subject; at least one is required");
    }
    return stagesBySubject;
  }

  private static List<String> stages(JsonNode list, String pointer) throws SpecException {
    List<String> stages = new ArrayList<>();
    for (JsonNode stage : list) {
      stages.add(name(stage.asText(), pointer + "/" + stages.size()));
    }
    if (stages.size() < MIN_STAGES || new HashSet<>(stages).size() < stages.size()) {
      throw new SpecException(pointer, "is not a list of at least two stages with distinct names");
    }
    return List.copyOf(stages);
  }

  private static String name(String text, String pointer) throws SpecException {
    if (!text.matches(NAME_PATTERN)) {
      throw new SpecException(
          pointer,
          "is not a name of 1 to 64 letters, digits, dots, dashes and underscores that starts with"
              + " a letter or digit");
    }
    return text;
  }

  private static double clockDrift(JsonNode json, String pointer) throws SpecException {
    JsonNode value = json.path("drift");
    boolean isInRange =
        value.isNumber() && value.asDouble() >= 0 && value.asDouble() <= MAX_CLOCK_DRIFT;
    if (!value.isMissingNode() && !isInRange) {
      throw new SpecException(pointer + "/drift", "is not a number from 0 to 0.5");
    }
    return value.asDouble(DEFAULT_CLOCK_DRIFT);
  }

  /** The bounds of a whole number, inclusive, and its default. */
  private record Range(long min, long max, long defaultValue) {

    boolean contains(JsonNode value) {
      return value.isIntegralNumber() && value.asLong() >= min && value.asLong() <= max;
    }
  }

  private static long wholeNumber(JsonNode json, String pointer, String field, Range range)
      throws SpecException {
    JsonNode value = json.path(field);
    if (!value.isMissingNode() && !range.contains(value)) {
      throw new SpecException(
          pointer + "/" + field,
          "is not a whole number from " + range.min() + " to " + range.max());
    }
    return value.asLong(range.defaultValue());
  }
}

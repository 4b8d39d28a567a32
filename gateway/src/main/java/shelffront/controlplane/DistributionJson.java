package shelffront.controlplane;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import shelffront.controlplane.DistributionException.DistributionGarbled;
import shelffront.distribution.RecordChange;
import shelffront.distribution.Staleness;
import shelffront.distribution.Version;

/**
 * The JSON representation of versions, ages and records, shared by the messages and files of
 * distribution. Stateless and thread-safe.
 */
final class DistributionJson {

  private static final ObjectMapper JSON = new ObjectMapper();

  /** The age on the wire of a view that was never confirmed. */
  private static final long NO_AGE = -1;

  private DistributionJson() {}

  static ObjectNode newObject() {
    return JSON.createObjectNode();
  }

  static byte[] bytes(JsonNode json) {
    try {
      return JSON.writeValueAsBytes(json);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a JSON tree of strings and numbers failed to serialize", e);
    }
  }

  static JsonNode parseObject(byte[] text) throws DistributionGarbled {
    try {
      JsonNode json = JSON.readTree(text);
      if (json != null && json.isObject()) {
        return json;
      }
    } catch (IOException e) {
      throw new DistributionGarbled("not JSON: " + e.getMessage(), e);
    }
    throw new DistributionGarbled("not a JSON object", null);
  }

  static void putVersion(ObjectNode json, Version version) {
    json.put("incarnation", version.incarnation()).put("sequence", version.sequence());
  }

  static Version readVersion(JsonNode json) throws DistributionGarbled {
    if (!json.path("incarnation").isIntegralNumber() || !json.path("sequence").isIntegralNumber()) {
      throw new DistributionGarbled(
          "a version needs an integral incarnation and sequence, found incarnation "
              + json.path("incarnation")
              + " and sequence "
              + json.path("sequence"),
          null);
    }
    return new Version(json.path("incarnation").asLong(), json.path("sequence").asLong());
  }

  static void putAge(ObjectNode json, long ageMicros) {
    json.put("ageMicros", ageMicros == Staleness.NEVER ? NO_AGE : ageMicros);
  }

  static long readAge(JsonNode json) {
    long ageMicros = json.path("ageMicros").asLong(NO_AGE);
    return ageMicros < 0 ? Staleness.NEVER : ageMicros;
  }

  static void putChanges(ArrayNode list, List<RecordChange> changes) {
    for (RecordChange change : changes) {
      ObjectNode json = list.addObject().put("name", change.name());
      putVersion(json, change.version());
      if (!change.isRemoval()) {
        json.put("document", change.document());
      }
    }
  }

  static List<RecordChange> readChanges(JsonNode list) throws DistributionGarbled {
    List<RecordChange> changes = new ArrayList<>();
    for (JsonNode json : list) {
      String document = json.has("document") ? json.path("document").asText() : null;
      changes.add(new RecordChange(readVersion(json), json.path("name").asText(), document));
    }
    return changes;
  }

  static void putStrings(ArrayNode list, List<String> strings) {
    strings.forEach(list::add);
  }

  static List<String> readStrings(JsonNode list) {
    List<String> strings = new ArrayList<>();
    list.forEach(text -> strings.add(text.asText()));
    return strings;
  }
}

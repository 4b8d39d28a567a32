package shelffront.controlplane;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Locale;
import java.util.UUID;
import shelffront.controlplane.ChangeStore.Head;
import shelffront.coordination.CoordinationException.EngineGarbled;
import shelffront.coordination.CoordinationStore.Value;
import shelffront.coordination.CoordinationStore.Write;
import shelffront.coordination.ValueJson;
import shelffront.distribution.RecordChange;
import shelffront.distribution.Version;

/**
 * The keys of a fleet's configuration records in the coordination store, and the JSON format of
 * their values.
 *
 * <pre>
 *   shelffront/FLEET/config/head           the head: the current version
 *   shelffront/FLEET/config/log/SLOT       the log of changes, a ring
 *   shelffront/FLEET/config/record/NAME    the records
 * </pre>
 *
 * <p>Immutable and thread-safe.
 */
final class ChangeStoreCodec {

  private static final ObjectMapper JSON = new ObjectMapper();

  /** A change with its own id and the id of its predecessor. */
  record LogEntry(RecordChange change, String id, String previousId) {

    long sequence() {
      return change.version().sequence();
    }
  }

  private final String headKey;
  private final String logPrefix;
  private final String recordPrefix;

  ChangeStoreCodec(String fleet) {
    String prefix = "shelffront/" + fleet + "/config/";
    headKey = prefix + "head";
    logPrefix = prefix + "log/";
    recordPrefix = prefix + "record/";
  }

  String headKey() {
    return headKey;
  }

  String recordPrefix() {
    return recordPrefix;
  }

  String recordKey(String name) {
    return recordPrefix + name;
  }

  String logKey(long sequence) {
    return logPrefix + String.format(Locale.ROOT, "%04d", sequence % ChangeStore.LOG_SLOTS);
  }

  /** The writes of the transaction that applies a change on top of a head. */
  List<Write> changeWrites(RecordChange change, Head head) {
    String id = UUID.randomUUID().toString();
    ObjectNode json = versionJson(change.version()).put("name", change.name());
    if (!change.isRemoval()) {
      json.put("document", change.document());
    }
    String recordText = json.toString();
    String logText = json.put("id", id).put("previous", head.changeId()).toString();
    return List.of(
        new Write(headKey, head.index(), headText(change.version(), id)),
        new Write(
            recordKey(change.name()), Write.ANY_INDEX, change.isRemoval() ? null : recordText),
        new Write(logKey(change.version().sequence()), Write.ANY_INDEX, logText));
  }

  /** The value of a head that starts a new chain of change ids. */
  static String newHeadText(Version version) {
    return headText(version, UUID.randomUUID().toString());
  }

  private static String headText(Version version, String id) {
    return versionJson(version).put("id", id).toString();
  }

  private static ObjectNode versionJson(Version version) {
    return JSON.createObjectNode()
        .put("incarnation", version.incarnation())
        .put("sequence", version.sequence());
  }

  static Head parseHead(Value value) throws EngineGarbled {
    JsonNode json = ValueJson.object(value);
    return new Head(parseVersion(json), json.path("id").asText(), value.index());
  }

  static LogEntry parseLogEntry(Value value) throws EngineGarbled {
    JsonNode json = ValueJson.object(value);
    return new LogEntry(
        parseChange(value, json), json.path("id").asText(), json.path("previous").asText());
  }

  static RecordChange parseRecord(Value value) throws EngineGarbled {
    return parseChange(value, ValueJson.object(value));
  }

  private static RecordChange parseChange(Value value, JsonNode json) throws EngineGarbled {
    if (!json.path("name").isTextual() || !json.path("sequence").isIntegralNumber()) {
      throw new EngineGarbled(
          value.key() + " is not a record with a name and a sequence: " + value.text(), null);
    }
    String document = json.has("document") ? json.path("document").asText() : null;
    return new RecordChange(parseVersion(json), json.path("name").asText(), document);
  }

  private static Version parseVersion(JsonNode json) {
    return new Version(json.path("incarnation").asLong(), json.path("sequence").asLong());
  }
}

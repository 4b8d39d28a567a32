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
import shelffront.distribution.Update;
import shelffront.distribution.Version;

/**
 * What subscribers and distributors say to each other, and its form as JSON. Ages are microseconds
 * here.
 */
final class DistributionMessages {

  static final ObjectMapper JSON = new ObjectMapper();
  private static final long NO_AGE = -1; // on the wire: the view was never confirmed

  private DistributionMessages() {}

  /** Whom a subscription is for, and what it follows. */
  record Subscribe(String subscriber, boolean all, long edition, List<String> names) {

    byte[] bytes() {
      ObjectNode o =
          JSON.createObjectNode()
              .put("subscriber", subscriber)
              .put("all", all)
              .put("edition", edition);
      put(o.putArray("names"), names);
      return DistributionMessages.bytes(o);
    }

    static Subscribe read(byte[] text) throws DistributionGarbled {
      JsonNode o = object(text);
      return new Subscribe(
          o.path("subscriber").asText(),
          o.path("all").asBoolean(),
          o.path("edition").asLong(),
          strings(o.path("names")));
    }
  }

  /** The name of a subscription that was made. */
  record Subscribed(String subscription) {

    byte[] bytes() {
      return DistributionMessages.bytes(JSON.createObjectNode().put("subscription", subscription));
    }

    static Subscribed read(byte[] text) throws DistributionGarbled {
      JsonNode o = object(text);
      if (!o.path("subscription").isTextual()) {
        throw new DistributionGarbled("an answer without a subscription", null);
      }
      return new Subscribed(o.path("subscription").asText());
    }
  }

  /** Names that a subscription follows from an edition on, and such as it follows no longer. */
  record ChangeNames(long edition, List<String> add, List<String> remove) {

    byte[] bytes() {
      ObjectNode o = JSON.createObjectNode().put("edition", edition);
      put(o.putArray("add"), add);
      put(o.putArray("remove"), remove);
      return DistributionMessages.bytes(o);
    }

    static ChangeNames read(byte[] text) throws DistributionGarbled {
      JsonNode o = object(text);
      return new ChangeNames(
          o.path("edition").asLong(), strings(o.path("add")), strings(o.path("remove")));
    }
  }

  /**
   * The records of names that were added, as of a version; a name that is not among them has none.
   */
  record Added(Version version, long age, List<RecordChange> records) {

    byte[] bytes() {
      ObjectNode o = JSON.createObjectNode();
      put(o.putObject("version"), version);
      putAge(o, age);
      putChanges(o.putArray("records"), records);
      return DistributionMessages.bytes(o);
    }

    static Added read(byte[] text) throws DistributionGarbled {
      JsonNode o = object(text);
      return new Added(readVersion(o.path("version")), readAge(o), changes(o.path("records")));
    }
  }

  /**
   * The answer to a poll: what the subscriber lacks, for an edition of its names, and how old that
   * may be.
   */
  record Polled(long edition, long age, Update update) {

    byte[] bytes() {
      ObjectNode o = JSON.createObjectNode().put("edition", edition);
      putAge(o, age);
      put(o.putObject("version"), update.version());
      if (update instanceof Update.Changes c) {
        put(o.putObject("after"), c.after());
        putChanges(o.putArray("changes"), c.changes());
      } else if (update instanceof Update.Snapshot s) {
        putChanges(o.putArray("records"), s.records());
      }
      return DistributionMessages.bytes(o);
    }

    static Polled read(byte[] text) throws DistributionGarbled {
      JsonNode o = object(text);
      Version version = readVersion(o.path("version"));
      Update update =
          o.has("after")
              ? new Update.Changes(
                  readVersion(o.path("after")), version, changes(o.path("changes")))
              : new Update.Snapshot(version, changes(o.path("records")));
      return new Polled(o.path("edition").asLong(), readAge(o), update);
    }
  }

  /** A record that could not be put in force. */
  record Rejected(String name, Version version, String reason) {

    byte[] bytes() {
      ObjectNode o = JSON.createObjectNode().put("name", name).put("reason", reason);
      put(o.putObject("version"), version);
      return DistributionMessages.bytes(o);
    }

    static Rejected read(byte[] text) throws DistributionGarbled {
      JsonNode o = object(text);
      return new Rejected(
          o.path("name").asText(), readVersion(o.path("version")), o.path("reason").asText());
    }
  }

  static void put(ObjectNode o, Version version) {
    o.put("incarnation", version.incarnation()).put("sequence", version.sequence());
  }

  static Version readVersion(JsonNode o) throws DistributionGarbled {
    if (!o.path("incarnation").isIntegralNumber() || !o.path("sequence").isIntegralNumber()) {
      throw new DistributionGarbled("a version is missing", null);
    }
    return new Version(o.path("incarnation").asLong(), o.path("sequence").asLong());
  }

  static void putChanges(ArrayNode list, List<RecordChange> changes) {
    for (RecordChange change : changes) {
      ObjectNode o = list.addObject().put("name", change.name());
      put(o, change.version());
      if (!change.isRemoval()) {
        o.put("document", change.document());
      }
    }
  }

  static List<RecordChange> changes(JsonNode list) throws DistributionGarbled {
    List<RecordChange> changes = new ArrayList<>();
    for (JsonNode o : list) {
      changes.add(
          new RecordChange(
              readVersion(o),
              o.path("name").asText(),
              o.has("document") ? o.path("document").asText() : null));
    }
    return changes;
  }

  private static void putAge(ObjectNode o, long age) {
    o.put("ageMicros", age == Staleness.NEVER ? NO_AGE : age);
  }

  private static long readAge(JsonNode o) {
    long age = o.path("ageMicros").asLong(NO_AGE);
    return age < 0 ? Staleness.NEVER : age;
  }

  private static void put(ArrayNode list, List<String> texts) {
    texts.forEach(list::add);
  }

  private static List<String> strings(JsonNode list) {
    List<String> texts = new ArrayList<>();
    list.forEach(t -> texts.add(t.asText()));
    return texts;
  }

  static byte[] bytes(JsonNode node) {
    try {
      return JSON.writeValueAsBytes(node);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a tree of texts and numbers can always be written", e);
    }
  }

  static JsonNode object(byte[] text) throws DistributionGarbled {
    try {
      JsonNode node = JSON.readTree(text);
      if (node != null && node.isObject()) {
        return node;
      }
    } catch (IOException e) {
      throw new DistributionGarbled("not JSON: " + e.getMessage(), e);
    }
    throw new DistributionGarbled("not a JSON object", null);
  }
}

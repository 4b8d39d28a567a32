package shelffront.controlplane;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import shelffront.controlplane.DistributionException.DistributionGarbled;
import shelffront.distribution.RecordChange;
import shelffront.distribution.Update;
import shelffront.distribution.Version;

/**
 * The messages between subscribers and distributors with their JSON representation. The {@code
 * fromJson} methods throw {@link DistributionGarbled} if the text is not such a message. All
 * messages are immutable.
 */
final class DistributionMessages {

  private DistributionMessages() {}

  /** Requests a subscription to the named records, or to all records. */
  record SubscribeRequest(String subscriber, boolean all, long edition, List<String> names) {

    byte[] toJson() {
      ObjectNode json =
          DistributionJson.newObject()
              .put("subscriber", subscriber)
              .put("all", all)
              .put("edition", edition);
      DistributionJson.putStrings(json.putArray("names"), names);
      return DistributionJson.bytes(json);
    }

    static SubscribeRequest fromJson(byte[] text) throws DistributionGarbled {
      JsonNode json = DistributionJson.parseObject(text);
      return new SubscribeRequest(
          json.path("subscriber").asText(),
          json.path("all").asBoolean(),
          json.path("edition").asLong(),
          DistributionJson.readStrings(json.path("names")));
    }
  }

  /** The response to a subscribe request: the id of the new subscription. */
  record SubscribeResponse(String subscription) {

    byte[] toJson() {
      return DistributionJson.bytes(DistributionJson.newObject().put("subscription", subscription));
    }

    static SubscribeResponse fromJson(byte[] text) throws DistributionGarbled {
      JsonNode json = DistributionJson.parseObject(text);
      if (!json.path("subscription").isTextual()) {
        throw new DistributionGarbled("the subscribe response has no subscription id", null);
      }
      return new SubscribeResponse(json.path("subscription").asText());
    }
  }

  /**
   * Adds names to and removes names from a subscription; the additions count from the given
   * edition.
   */
  record ChangeNamesRequest(long edition, List<String> add, List<String> remove) {

    byte[] toJson() {
      ObjectNode json = DistributionJson.newObject().put("edition", edition);
      DistributionJson.putStrings(json.putArray("add"), add);
      DistributionJson.putStrings(json.putArray("remove"), remove);
      return DistributionJson.bytes(json);
    }

    static ChangeNamesRequest fromJson(byte[] text) throws DistributionGarbled {
      JsonNode json = DistributionJson.parseObject(text);
      return new ChangeNamesRequest(
          json.path("edition").asLong(),
          DistributionJson.readStrings(json.path("add")),
          DistributionJson.readStrings(json.path("remove")));
    }
  }

  /**
   * The response to a change of names: the records of the added names as of one version. Names
   * without a record are absent.
   */
  record ChangeNamesResponse(Version version, long ageMicros, List<RecordChange> records) {

    byte[] toJson() {
      ObjectNode json = DistributionJson.newObject();
      DistributionJson.putVersion(json.putObject("version"), version);
      DistributionJson.putAge(json, ageMicros);
      DistributionJson.putChanges(json.putArray("records"), records);
      return DistributionJson.bytes(json);
    }

    static ChangeNamesResponse fromJson(byte[] text) throws DistributionGarbled {
      JsonNode json = DistributionJson.parseObject(text);
      return new ChangeNamesResponse(
          DistributionJson.readVersion(json.path("version")),
          DistributionJson.readAge(json),
          DistributionJson.readChanges(json.path("records")));
    }
  }

  /**
   * The response to a poll: the update that the subscriber is missing, the edition of its names to
   * which the update applies, and the maximum age of the distributor's view.
   */
  record PollResponse(long edition, long ageMicros, Update update) {

    byte[] toJson() {
      ObjectNode json = DistributionJson.newObject().put("edition", edition);
      DistributionJson.putAge(json, ageMicros);
      DistributionJson.putVersion(json.putObject("version"), update.version());
      if (update instanceof Update.Changes changes) {
        DistributionJson.putVersion(json.putObject("after"), changes.after());
        DistributionJson.putChanges(json.putArray("changes"), changes.changes());
      } else if (update instanceof Update.Snapshot snapshot) {
        DistributionJson.putChanges(json.putArray("records"), snapshot.records());
      }
      return DistributionJson.bytes(json);
    }

    static PollResponse fromJson(byte[] text) throws DistributionGarbled {
      JsonNode json = DistributionJson.parseObject(text);
      Update update = readUpdate(json);
      return new PollResponse(
          json.path("edition").asLong(), DistributionJson.readAge(json), update);
    }

    /** Distinguishes the two kinds of update: only changes have the field {@code after}. */
    private static Update readUpdate(JsonNode json) throws DistributionGarbled {
      Version version = DistributionJson.readVersion(json.path("version"));
      return json.has("after")
          ? new Update.Changes(
              DistributionJson.readVersion(json.path("after")),
              version,
              DistributionJson.readChanges(json.path("changes")))
          : new Update.Snapshot(version, DistributionJson.readChanges(json.path("records")));
    }
  }

  /** Reports a record that was not applied because it is not valid. */
  record RejectionReport(String name, Version version, String reason) {

    byte[] toJson() {
      ObjectNode json = DistributionJson.newObject().put("name", name).put("reason", reason);
      DistributionJson.putVersion(json.putObject("version"), version);
      return DistributionJson.bytes(json);
    }

    static RejectionReport fromJson(byte[] text) throws DistributionGarbled {
      JsonNode json = DistributionJson.parseObject(text);
      return new RejectionReport(
          json.path("name").asText(),
          DistributionJson.readVersion(json.path("version")),
          json.path("reason").asText());
    }
  }
}

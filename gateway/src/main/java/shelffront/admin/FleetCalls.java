package shelffront.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import shelffront.distribution.Version;
import shelffront.engine.OperatorException;
import shelffront.fleetconfig.FleetRecords;
import shelffront.stages.Stages;
import shelffront.tenant.SpecJson;
import shelffront.tenant.SpecJson.SpecException;

/**
 * The administration's calls about what a fleet shares: subjects that go through stages, and
 * distribution.
 */
public final class FleetCalls {

  /** This gateway's part in distribution. */
  public interface Distribution {

    FleetRecords.Status status();

    /** What the engine holds is the truth from here on. */
    Version beginIncarnation() throws OperatorException;
  }

  private final Stages stages;
  private final Distribution distribution;

  /** Each is null where the gateway has no part in it. */
  public FleetCalls(Stages stages, Distribution distribution) {
    this.stages = stages;
    this.distribution = distribution;
  }

  /** What the fleet changes stage by stage: shown, and sent to another stage. */
  Answer subjects(String method, String[] parts, byte[] body)
      throws Problem, SpecException, OperatorException {
    if (stages == null || parts.length > 4) {
      throw Problem.notFound();
    }
    if (parts.length == 4 && method.equals("PUT")) {
      JsonNode target = SpecJson.parse(body).path("target");
      if (!target.isTextual()) {
        throw new Problem(422, "Not a valid document", "a stage is needed", "/target", null);
      }
      stages.target(parts[3], target.asText());
    } else {
      AdminServer.only(method, "GET");
    }
    ArrayNode list = SpecJson.JSON.createArrayNode();
    for (Stages.Shown s : stages.show(parts.length == 4 ? parts[3] : null)) {
      ArrayNode waits =
          list.addObject()
              .put("subject", s.subject())
              .put("stage", s.stage())
              .put("target", s.target())
              .put("epoch", s.epoch())
              .put("inForceHere", s.inForceHere())
              .put("owner", s.owner())
              .putArray("waitsFor");
      s.waitsFor().forEach(waits::add);
    }
    return Answer.of(200, SpecJson.JSON.createObjectNode().set("subjects", list));
  }

  /**
   * How current this gateway's view is; and the order to take what the engine holds for the truth.
   */
  Answer distribution(String method, String[] parts) throws Problem, OperatorException {
    if (distribution == null) {
      throw Problem.notFound();
    }
    if (parts.length == 4 && parts[3].equals("incarnation")) {
      AdminServer.only(method, "POST");
      return Answer.of(200, put(SpecJson.JSON.createObjectNode(), distribution.beginIncarnation()));
    }
    if (parts.length != 3) {
      throw Problem.notFound();
    }
    AdminServer.only(method, "GET");
    FleetRecords.Status status = distribution.status();
    ObjectNode answer =
        SpecJson.JSON
            .createObjectNode()
            .put("ageMillis", status.ageMillis())
            .put("following", status.following())
            .put("names", status.names())
            .put("inForce", status.inForce());
    put(answer.putObject("version"), status.version());
    ObjectNode rejected = answer.putObject("rejected");
    status.rejected().forEach(rejected::put);
    if (status.error() != null) {
      answer.put("error", status.error()).put("advice", status.advice());
    }
    return Answer.of(200, answer);
  }

  private static ObjectNode put(ObjectNode answer, Version version) {
    return answer.put("incarnation", version.incarnation()).put("sequence", version.sequence());
  }
}

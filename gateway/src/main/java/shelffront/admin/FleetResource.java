package shelffront.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import shelffront.controlplane.SubscribedRecords;
import shelffront.coordination.OperatorException;
import shelffront.distribution.Version;
import shelffront.rolloutcontrol.RolloutCoordinator;
import shelffront.tenant.TenantSpecCodec;
import shelffront.tenant.TenantSpecCodec.SpecException;

/**
 * The administration's calls about what a fleet shares: subjects that go through stages, and
 * distribution.
 */
public final class FleetResource {

  /** This gateway's part in distribution. */
  public interface Distribution {

    SubscribedRecords.Status status();

    /** What the engine holds is the truth from here on. */
    Version beginIncarnation() throws OperatorException;
  }

  private final RolloutCoordinator stages;
  private final Distribution distribution;

  /** Each is null where the gateway has no part in it. */
  public FleetResource(RolloutCoordinator stages, Distribution distribution) {
    this.stages = stages;
    this.distribution = distribution;
  }

  /** What the fleet changes stage by stage: shown, and sent to another stage. */
  AdminResponse subjects(String method, String[] parts, byte[] body)
      throws ProblemException, SpecException, OperatorException {
    if (stages == null || parts.length > 4) {
      throw ProblemException.notFound();
    }
    if (parts.length == 4 && method.equals("PUT")) {
      JsonNode target = TenantSpecCodec.parse(body).path("target");
      if (!target.isTextual()) {
        throw new ProblemException(
            422, "Not a valid document", "a stage is needed", "/target", null);
      }
      stages.requestStage(parts[3], target.asText());
    } else {
      AdminServer.requireMethod(method, "GET");
    }
    ArrayNode list = TenantSpecCodec.JSON.createArrayNode();
    for (RolloutCoordinator.SubjectStatus s : stages.status(parts.length == 4 ? parts[3] : null)) {
      ArrayNode waits =
          list.addObject()
              .put("subject", s.subject())
              .put("stage", s.stage())
              .put("target", s.target())
              .put("epoch", s.epoch())
              .put("inForceHere", s.stageInForceHere())
              .put("owner", s.isLeader())
              .putArray("waitsFor");
      s.blockingMembers().forEach(waits::add);
    }
    return AdminResponse.of(200, TenantSpecCodec.JSON.createObjectNode().set("subjects", list));
  }

  /**
   * How current this gateway's view is; and the order to take what the engine holds for the truth.
   */
  AdminResponse distribution(String method, String[] parts)
      throws ProblemException, OperatorException {
    if (distribution == null) {
      throw ProblemException.notFound();
    }
    if (parts.length == 4 && parts[3].equals("incarnation")) {
      AdminServer.requireMethod(method, "POST");
      return AdminResponse.of(
          200, put(TenantSpecCodec.JSON.createObjectNode(), distribution.beginIncarnation()));
    }
    if (parts.length != 3) {
      throw ProblemException.notFound();
    }
    AdminServer.requireMethod(method, "GET");
    SubscribedRecords.Status status = distribution.status();
    ObjectNode answer =
        TenantSpecCodec.JSON
            .createObjectNode()
            .put("ageMillis", status.ageMillis())
            .put("following", status.followedDistributor())
            .put("names", status.subscribedNames())
            .put("inForce", status.recordsInForce());
    put(answer.putObject("version"), status.version());
    ObjectNode rejected = answer.putObject("rejected");
    status.rejectionReasons().forEach(rejected::put);
    if (status.errorCode() != null) {
      answer.put("error", status.errorCode()).put("advice", status.advice());
    }
    return AdminResponse.of(200, answer);
  }

  private static ObjectNode put(ObjectNode answer, Version version) {
    return answer.put("incarnation", version.incarnation()).put("sequence", version.sequence());
  }
}

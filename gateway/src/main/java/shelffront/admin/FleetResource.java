package shelffront.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
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

  private final RolloutCoordinator rollouts;
  private final Distribution distribution;

  /** Each is null where the gateway has no part in it. */
  public FleetResource(RolloutCoordinator rollouts, Distribution distribution) {
    this.rollouts = rollouts;
    this.distribution = distribution;
  }

  /** What the fleet changes stage by stage: shown, and sent to another stage. */
  AdminResponse subjects(AdminRequest request)
      throws ProblemException, SpecException, OperatorException {
    request.requireOperator();
    List<String> path = request.path();
    if (rollouts == null || path.size() > 2) {
      throw ProblemException.notFound();
    }
    String subject = path.size() == 2 ? path.get(1) : null; // null: all
    if (subject != null && request.isMethod(AdminRequest.PUT)) {
      JsonNode target = request.document().path("target");
      if (!target.isTextual()) {
        throw ProblemException.invalidField("/target", "a stage is needed");
      }
      rollouts.requestStage(subject, target.asText());
    } else {
      request.requireMethod(AdminRequest.GET);
    }
    ArrayNode list = TenantSpecCodec.JSON.createArrayNode();
    for (RolloutCoordinator.SubjectStatus status : rollouts.status(subject)) {
      ArrayNode waits =
          list.addObject()
              .put("subject", status.subject())
              .put("stage", status.stage())
              .put("target", status.target())
              .put("epoch", status.epoch())
              .put("inForceHere", status.stageInForceHere())
              .put("owner", status.isLeader())
              .putArray("waitsFor");
      status.blockingMembers().forEach(waits::add);
    }
    return AdminResponse.of(
        HttpStatus.OK, TenantSpecCodec.JSON.createObjectNode().set("subjects", list));
  }

  /**
   * How current this gateway's view is; and the order to take what the engine holds for the truth.
   */
  AdminResponse distribution(AdminRequest request) throws ProblemException, OperatorException {
    request.requireOperator();
    List<String> path = request.path();
    if (distribution == null) {
      throw ProblemException.notFound();
    }
    if (path.size() == 2 && path.get(1).equals("incarnation")) {
      request.requireMethod(AdminRequest.POST);
      return AdminResponse.of(
          HttpStatus.OK,
          put(TenantSpecCodec.JSON.createObjectNode(), distribution.beginIncarnation()));
    }
    if (path.size() != 1) {
      throw ProblemException.notFound();
    }
    request.requireMethod(AdminRequest.GET);
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
    return AdminResponse.of(HttpStatus.OK, answer);
  }

  private static ObjectNode put(ObjectNode answer, Version version) {
    return answer.put("incarnation", version.incarnation()).put("sequence", version.sequence());
  }
}

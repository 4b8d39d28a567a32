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
 * The resources of fleet-wide state: {@code /v1/subjects} for rollouts and {@code /v1/distribution}
 * for the distribution of tenants.
 */
public final class FleetResource {

  /** The distribution subscriber of this gateway. */
  public interface Distribution {

    SubscribedRecords.Status status();

    /**
     * Begins a new incarnation, which makes the content of the coordination store authoritative.
     */
    Version beginIncarnation() throws OperatorException;
  }

  private final RolloutCoordinator rollouts;
  private final Distribution distribution;

  /** Either argument is null if the gateway does not take part; its path then responds with 404. */
  public FleetResource(RolloutCoordinator rollouts, Distribution distribution) {
    this.rollouts = rollouts;
    this.distribution = distribution;
  }

  /** Returns the state of rollout subjects, or requests another target stage for one of them. */
  AdminResponse subjects(AdminRequest request)
      throws ProblemException, SpecException, OperatorException {
    request.requireOperator();
    List<String> path = request.path();
    if (rollouts == null || path.size() > 2) {
      throw ProblemException.notFound();
    }
    String subject = path.size() == 2 ? path.get(1) : null; // null selects all subjects
    if (subject != null && request.isMethod(AdminRequest.PUT)) {
      JsonNode target = request.document().path("target");
      if (!target.isTextual()) {
        throw ProblemException.invalidField(
            "/target", "target is missing or not a string; it must name a stage");
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
   * Returns the version and age of this gateway's view, or begins a new incarnation of the records.
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
    ObjectNode body =
        TenantSpecCodec.JSON
            .createObjectNode()
            .put("ageMillis", status.ageMillis())
            .put("following", status.followedDistributor())
            .put("names", status.subscribedNames())
            .put("inForce", status.recordsInForce());
    put(body.putObject("version"), status.version());
    ObjectNode rejected = body.putObject("rejected");
    status.rejectionReasons().forEach(rejected::put);
    if (status.errorCode() != null) {
      body.put("error", status.errorCode()).put("advice", status.advice());
    }
    return AdminResponse.of(HttpStatus.OK, body);
  }

  private static ObjectNode put(ObjectNode body, Version version) {
    return body.put("incarnation", version.incarnation()).put("sequence", version.sequence());
  }
}

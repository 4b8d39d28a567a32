package shelffront.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import shelffront.coordination.OperatorException;
import shelffront.store.DocumentStore.ConflictException;
import shelffront.store.DocumentStore.Entry;
import shelffront.tenant.TenantSpecCodec;
import shelffront.tenant.TenantSpecCodec.SpecException;

/** {@code /v1/tenants/ID/boxes}: lists the endpoints of a tenant and drains them. */
final class EndpointsResource {

  private static final int LIST_PATH_LENGTH = 3;
  private static final int ENDPOINT_INDEX = 3;
  private static final int ACTION_INDEX = 4;
  private static final int ACTION_PATH_LENGTH = 5;

  private final TenantAdministration administration;

  EndpointsResource(TenantAdministration administration) {
    this.administration = administration;
  }

  AdminResponse handle(AdminRequest request, Entry entry)
      throws ProblemException, SpecException, ConflictException, OperatorException {
    List<String> path = request.path();
    if (path.size() == LIST_PATH_LENGTH) {
      request.requireMethod(AdminRequest.GET);
      return list(entry);
    }
    if (path.size() == ACTION_PATH_LENGTH && path.get(ACTION_INDEX).equals("drain")) {
      return drain(request, entry.name(), path.get(ENDPOINT_INDEX));
    }
    throw ProblemException.notFound();
  }

  private static AdminResponse list(Entry entry) {
    ObjectNode body = TenantSpecCodec.JSON.createObjectNode().put("revision", entry.revision());
    JsonNode endpoints = entry.document().path("boxes");
    body.set(
        "source",
        endpoints.has("discovery")
            ? endpoints.path("discovery")
            : TenantSpecCodec.JSON.getNodeFactory().textNode("list"));
    ArrayNode list = body.putArray("boxes");
    endpoints.path("list").forEach(endpoint -> list.add(endpoint.deepCopy()));
    body.set(
        "drained",
        entry.document().has("drained")
            ? entry.document().path("drained")
            : TenantSpecCodec.JSON.createArrayNode());
    return AdminResponse.of(HttpStatus.OK, body);
  }

  private AdminResponse drain(AdminRequest request, String tenantId, String endpointId)
      throws ProblemException, SpecException, ConflictException, OperatorException {
    boolean drain = request.isMethod(AdminRequest.POST);
    if (!drain && !request.isMethod(AdminRequest.DELETE)) {
      throw ProblemException.methodNotAllowed();
    }
    long revision = administration.drain(tenantId, endpointId, drain, request.caller().token());
    return AdminResponse.of(
        HttpStatus.OK,
        TenantSpecCodec.JSON
            .createObjectNode()
            .put("id", endpointId)
            .put("drained", drain)
            .put("revision", revision));
  }
}

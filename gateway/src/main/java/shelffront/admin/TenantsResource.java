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

/**
 * {@code /v1/tenants}: the tenants, and for each its document, endpoints, keys and usage. For a
 * tenant's administrator, other tenants respond like missing ones.
 */
final class TenantsResource implements AdminResource {

  private static final List<String> OPERATOR_ONLY_FIELDS = List.of("weight", "limits");

  private final TenantAdministration administration;
  private final EndpointsResource endpoints;
  private final KeysResource keys;
  private final UsageResource usage;

  TenantsResource(TenantAdministration administration) {
    this.administration = administration;
    endpoints = new EndpointsResource(administration);
    keys = new KeysResource(administration);
    usage = new UsageResource(administration);
  }

  @Override
  public AdminResponse handle(AdminRequest request)
      throws ProblemException,
          SpecException,
          ConflictException,
          OperatorException,
          InterruptedException {
    List<String> path = request.path();
    if (path.size() == 1) {
      return request.isMethod(AdminRequest.POST) ? create(request) : list(request);
    }
    String id = path.get(1);
    if (!request.caller().maySee(id)) {
      throw ProblemException.notFound();
    }
    boolean isTenantPath = path.size() == 2;
    Entry entry = administration.get(id);
    boolean mayCreate =
        isTenantPath && request.isMethod(AdminRequest.PUT) && request.caller().isOperator();
    if (entry == null && !mayCreate) {
      throw ProblemException.notFound();
    }
    return isTenantPath ? handleTenant(request, id, entry) : handleSubresource(request, entry);
  }

  private AdminResponse handleSubresource(AdminRequest request, Entry entry)
      throws ProblemException,
          SpecException,
          ConflictException,
          OperatorException,
          InterruptedException {
    return switch (request.path().get(2)) {
      case "boxes" -> endpoints.handle(request, entry);
      case "keys" -> keys.handle(request, entry);
      case "usage" -> usage.handle(request, entry);
      default -> throw ProblemException.notFound();
    };
  }

  // ---- All tenants

  private AdminResponse create(AdminRequest request)
      throws ProblemException, SpecException, ConflictException, OperatorException {
    request.requireOperator();
    JsonNode document = request.document();
    String id = document.path("id").asText();
    if (administration.get(id) != null) {
      throw new ProblemException(
          HttpStatus.CONFLICT, "Exists", "a tenant of this name already exists", "/id", null);
    }
    long revision = administration.put(id, 0, document, request.caller().token(), "create");
    return TenantJson.response(HttpStatus.CREATED, id, revision, document);
  }

  private AdminResponse list(AdminRequest request) throws ProblemException, OperatorException {
    request.requireMethod(AdminRequest.GET);
    ArrayNode tenants = TenantSpecCodec.JSON.createArrayNode();
    for (Entry entry : administration.all()) {
      if (request.caller().maySee(entry.name())) {
        tenants.add(TenantJson.of(entry));
      }
    }
    ObjectNode body =
        TenantSpecCodec.JSON.createObjectNode().put("revision", administration.revision());
    body.set("tenants", tenants);
    return AdminResponse.of(HttpStatus.OK, body);
  }

  // ---- One tenant

  /** Executes a request for a tenant document; the entry is null if the tenant does not exist. */
  private AdminResponse handleTenant(AdminRequest request, String id, Entry entry)
      throws ProblemException, SpecException, ConflictException, OperatorException {
    return switch (request.method()) {
      case AdminRequest.GET -> TenantJson.response(HttpStatus.OK, entry);
      case AdminRequest.PUT -> put(request, id, entry);
      case AdminRequest.DELETE -> remove(request, id, entry);
      default -> throw ProblemException.methodNotAllowed();
    };
  }

  private AdminResponse put(AdminRequest request, String id, Entry entry)
      throws ProblemException, SpecException, ConflictException, OperatorException {
    long expected = expectedRevision(request, entry);
    JsonNode document = request.document();
    if (!request.caller().isOperator()) {
      requireOperatorFieldsUnchanged(entry.document(), document);
    }
    long revision = administration.put(id, expected, document, request.caller().token(), "change");
    int status = entry == null ? HttpStatus.CREATED : HttpStatus.OK;
    return TenantJson.response(status, id, revision, document);
  }

  private AdminResponse remove(AdminRequest request, String id, Entry entry)
      throws ProblemException, ConflictException, OperatorException {
    request.requireOperator();
    long expected = expectedRevision(request, entry);
    long revision = administration.remove(id, expected, request.caller().token());
    return AdminResponse.of(HttpStatus.ACCEPTED, TenantJson.changed(id, revision));
  }

  /**
   * Returns the revision that If-Match names, or 0 for the creation of a tenant with {@code
   * If-None-Match: *}.
   */
  private static long expectedRevision(AdminRequest request, Entry entry) throws ProblemException {
    String match = request.header("If-Match");
    if (match == null && entry == null && "*".equals(request.header("If-None-Match"))) {
      return 0;
    }
    if (match == null) {
      throw new ProblemException(
          HttpStatus.PRECONDITION_REQUIRED,
          "Precondition required",
          "If-Match must name the revision that the request changes");
    }
    if (!match.matches("\"[0-9]{1,18}\"")) {
      throw ProblemException.preconditionFailed(
          "If-Match is not the entity tag of a revision", entry);
    }
    return Long.parseLong(match.substring(1, match.length() - 1));
  }

  /** Only operators may change a tenant's share of the gateway: its weight and limits. */
  private static void requireOperatorFieldsUnchanged(JsonNode before, JsonNode after)
      throws ProblemException {
    for (String field : OPERATOR_ONLY_FIELDS) {
      if (!before.path(field).equals(after.path(field))) {
        throw new ProblemException(
            HttpStatus.FORBIDDEN,
            "Not allowed",
            "only an operator may change this field",
            "/" + field,
            null);
      }
    }
  }
}

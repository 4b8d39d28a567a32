package shelffront.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import shelffront.coordination.OperatorException;
import shelffront.store.DocumentStore.ConflictException;
import shelffront.store.DocumentStore.Entry;
import shelffront.tenant.TenantSpecCodec;
import shelffront.tenant.TenantSpecCodec.SpecException;

/**
 * {@code /v1/tenants/ID/keys}: lists, creates and revokes the keys of a tenant's clients. A key is
 * returned once, when it is created; lists show only its identifier and user.
 */
final class KeysResource {

  private static final int LIST_PATH_LENGTH = 3;
  private static final int KEY_INDEX = 3;
  private static final int KEY_PATH_LENGTH = 4;
  private static final int MAX_USER_LENGTH = 63;

  private final TenantAdministration administration;

  KeysResource(TenantAdministration administration) {
    this.administration = administration;
  }

  AdminResponse handle(AdminRequest request, Entry entry)
      throws ProblemException, SpecException, ConflictException, OperatorException {
    if (request.path().size() == KEY_PATH_LENGTH) {
      request.requireMethod(AdminRequest.DELETE);
      return revoke(request, entry.name(), request.path().get(KEY_INDEX));
    }
    if (request.path().size() != LIST_PATH_LENGTH) {
      throw ProblemException.notFound();
    }
    if (request.isMethod(AdminRequest.POST)) {
      return create(request, entry.name());
    }
    request.requireMethod(AdminRequest.GET);
    return list(entry);
  }

  private AdminResponse revoke(AdminRequest request, String tenantId, String keyId)
      throws ProblemException, SpecException, ConflictException, OperatorException {
    long revision = administration.revokeKey(tenantId, keyId, request.caller().token());
    if (revision == 0) {
      throw ProblemException.notFound();
    }
    return AdminResponse.of(HttpStatus.OK, TenantJson.changed(keyId, revision));
  }

  private AdminResponse create(AdminRequest request, String tenantId)
      throws ProblemException, SpecException, ConflictException, OperatorException {
    JsonNode user = request.document().path("user");
    if (!user.isTextual() || user.asText().isEmpty() || user.asText().length() > MAX_USER_LENGTH) {
      throw ProblemException.invalidField(
          "/user", "user must be a string of 1 to " + MAX_USER_LENGTH + " characters");
    }
    TenantAdministration.CreatedKey created =
        administration.createKey(tenantId, user.asText(), request.caller().token());
    if (created == null) {
      throw ProblemException.notFound();
    }
    return AdminResponse.of(
        HttpStatus.CREATED,
        TenantSpecCodec.JSON
            .createObjectNode()
            .put("id", created.id())
            .put("user", user.asText())
            .put("key", created.key())
            .put("revision", created.revision()));
  }

  private static AdminResponse list(Entry entry) {
    ObjectNode body = TenantSpecCodec.JSON.createObjectNode().put("revision", entry.revision());
    ArrayNode keys = body.putArray("keys");
    for (JsonNode credential : entry.document().path("credentials")) {
      keys.addObject()
          .put("id", TenantAdministration.keyId(credential.path("sha256").asText()))
          .put("user", credential.path("user").asText());
    }
    return AdminResponse.of(HttpStatus.OK, body);
  }
}

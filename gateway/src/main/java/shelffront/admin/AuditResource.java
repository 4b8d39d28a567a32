package shelffront.admin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import shelffront.store.DocumentStore;
import shelffront.store.DocumentStore.AuditEntry;
import shelffront.store.DocumentStore.Kind;
import shelffront.tenant.TenantSpecCodec;

/** {@code /v1/audit}: the audit entries that a caller may see, oldest first. */
final class AuditResource implements AdminResource {

  private static final int MAX_ENTRIES = 1000;

  private final DocumentStore store;

  AuditResource(DocumentStore store) {
    this.store = store;
  }

  @Override
  public AdminResponse handle(AdminRequest request) throws ProblemException {
    request.requireMethod(AdminRequest.GET);
    ObjectNode body = TenantSpecCodec.JSON.createObjectNode().put("revision", store.revision());
    ArrayNode entries = body.putArray("entries");
    for (AuditEntry entry : store.auditEntries(request.queryNumber("after", 0), MAX_ENTRIES)) {
      if (maySee(request.caller(), entry)) {
        entries.add(toJson(entry));
      }
    }
    return AdminResponse.of(HttpStatus.OK, body);
  }

  private static boolean maySee(AdminTokens.Caller caller, AuditEntry entry) {
    return caller.isOperator() || entry.kind() == Kind.TENANT && caller.maySee(entry.name());
  }

  private static ObjectNode toJson(AuditEntry entry) {
    return TenantSpecCodec.JSON
        .createObjectNode()
        .put("revision", entry.revision())
        .put("before", entry.previousRevision())
        .put("at", entry.atMillis())
        .put("who", entry.actor())
        .put("what", entry.action())
        .put("kind", entry.kind().name().toLowerCase(Locale.ROOT))
        .put("name", entry.name());
  }
}

package shelffront.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import shelffront.store.DocumentStore.Entry;
import shelffront.tenant.TenantSpecCodec;

/** JSON representations of tenants in the administration API. */
final class TenantJson {

  private TenantJson() {}

  static ObjectNode of(Entry entry) {
    ObjectNode json = TenantSpecCodec.JSON.createObjectNode().put("revision", entry.revision());
    json.set("tenant", entry.document());
    return json;
  }

  /** Returns a response with a tenant and its entity tag. */
  static AdminResponse response(int status, Entry entry) {
    Map<String, String> headers = Map.of("ETag", "\"" + entry.revision() + "\"");
    return new AdminResponse(status, of(entry), headers);
  }

  static AdminResponse response(int status, String id, long revision, JsonNode document) {
    return response(status, new Entry(id, revision, document));
  }

  /** Returns the body that names the changed item and the revision of the change. */
  static ObjectNode changed(String id, long revision) {
    return TenantSpecCodec.JSON.createObjectNode().put("id", id).put("revision", revision);
  }
}

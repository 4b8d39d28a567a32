package shelffront.admin;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;

/** A response of the administration API. If the body is null, none is sent. */
record AdminResponse(int status, JsonNode body, Map<String, String> headers) {

  static AdminResponse of(int status, JsonNode body) {
    return new AdminResponse(status, body, Map.of());
  }
}

package shelffront.admin;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;

/** What a call of the administration is answered; without a body where that is null. */
record AdminResponse(int status, JsonNode body, Map<String, String> headers) {

  static AdminResponse of(int status, JsonNode body) {
    return new AdminResponse(status, body, Map.of());
  }
}

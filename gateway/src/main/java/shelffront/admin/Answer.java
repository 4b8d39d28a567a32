package shelffront.admin;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;

/** What a call of the administration is answered; without a body where that is null. */
record Answer(int status, JsonNode body, Map<String, String> headers) {

  static Answer of(int status, JsonNode body) {
    return new Answer(status, body, Map.of());
  }
}

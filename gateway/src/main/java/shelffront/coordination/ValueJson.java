package shelffront.coordination;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import shelffront.coordination.CoordinationException.EngineGarbled;
import shelffront.coordination.CoordinationStore.Value;

/** Parses the values of the coordination store as JSON objects. Thread-safe. */
public final class ValueJson {

  private static final ObjectMapper JSON = new ObjectMapper();

  private ValueJson() {}

  /** Parses the value of a key; the exception names the key if the value is not a JSON object. */
  public static JsonNode object(Value value) throws EngineGarbled {
    try {
      JsonNode node = JSON.readTree(value.text());
      if (node != null && node.isObject()) {
        return node;
      }
    } catch (JsonProcessingException e) {
      throw new EngineGarbled(value.key() + " is not JSON: " + value.text(), e);
    }
    throw new EngineGarbled(value.key() + " is not a JSON object: " + value.text(), null);
  }
}

package shelffront.coordination;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import shelffront.coordination.CoordinationException.EngineGarbled;
import shelffront.coordination.CoordinationStore.Value;

/** Reads the coordination store's texts as JSON objects. Any thread may call. */
public final class ValueJson {

  private static final ObjectMapper JSON = new ObjectMapper();

  private ValueJson() {}

  /** What a key holds; throws, with the key's name, where that is no JSON object. */
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

package shelffront.compatibility;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Base64;
import java.util.TreeMap;
import shelffront.coordination.CoordinationStore.Value;
import shelffront.coordination.InMemoryCoordinationStore;

/**
 * Loads a key file of the emulated coordination store into an in-memory store, with the indexes of
 * the file.
 */
final class StoredEngine {

  private static final ObjectMapper JSON = new ObjectMapper();

  private StoredEngine() {}

  /** Loads the store as of an index, without later writes. */
  static InMemoryCoordinationStore asOf(long lastIndex, Path file) throws IOException {
    TreeMap<String, Value> values = new TreeMap<>();
    for (String line : Files.readAllLines(file)) {
      JsonNode write = JSON.readTree(line);
      long index = write.path("index").asLong();
      String key = write.path("key").asText();
      if (index > lastIndex) {
        continue;
      }
      if (write.has("value")) {
        byte[] decoded = Base64.getDecoder().decode(write.path("value").asText());
        values.put(key, new Value(key, index, new String(decoded, UTF_8)));
      } else {
        values.remove(key);
      }
    }
    InMemoryCoordinationStore engine = new InMemoryCoordinationStore();
    engine.restore(values);
    return engine;
  }

  static InMemoryCoordinationStore load(Path file) throws IOException {
    return asOf(Long.MAX_VALUE, file);
  }
}

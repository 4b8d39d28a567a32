package shelffront.lab.scale;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.TreeMap;
import shelffront.coordination.CoordinationStore;
import shelffront.tenant.TenantSpecCodec;

/**
 * In-memory coordination store that creates the state file of the Consul emulator before the
 * emulator starts, from the same writes that it would receive over HTTP.
 */
final class StateFileCoordinationStore implements CoordinationStore {

  private final TreeMap<String, Value> values = new TreeMap<>();
  private long index = 1;

  /** Writes all entries in the format of the emulator's state file. */
  void save(Path file) throws IOException {
    List<String> lines = new ArrayList<>();
    values.values().stream()
        .sorted((first, second) -> Long.compare(first.index(), second.index()))
        .forEach(
            value ->
                lines.add(
                    TenantSpecCodec.JSON
                        .createObjectNode()
                        .put("index", value.index())
                        .put("key", value.key())
                        .put(
                            "value",
                            Base64.getEncoder().encodeToString(value.text().getBytes(UTF_8)))
                        .toString()));
    Files.write(file, lines);
  }

  @Override
  public Value read(String key) {
    return values.get(key);
  }

  @Override
  public Listing list(String prefix) {
    return new Listing(
        index,
        values.tailMap(prefix).values().stream()
            .takeWhile(value -> value.key().startsWith(prefix))
            .toList());
  }

  @Override
  public Listing watch(String prefix, long after) {
    return list(prefix);
  }

  @Override
  public boolean checkAndSet(String key, long expectedIndex, String text) {
    return transact(List.of(new Write(key, expectedIndex, text)));
  }

  @Override
  public void checkAndDelete(String key, long expectedIndex) {
    transact(List.of(new Write(key, expectedIndex, null)));
  }

  @Override
  public boolean transact(List<Write> writes) {
    index++;
    for (Write write : writes) {
      if (write.newText() == null) {
        values.remove(write.key());
      } else {
        values.put(write.key(), new Value(write.key(), index, write.newText()));
      }
    }
    return true;
  }

  @Override
  public List<Value> readAll(List<String> keys) {
    return keys.stream().filter(values::containsKey).map(values::get).toList();
  }

  @Override
  public void close() {}
}

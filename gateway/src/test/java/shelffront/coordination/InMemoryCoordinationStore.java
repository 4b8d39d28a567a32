package shelffront.coordination;

import java.util.List;
import java.util.TreeMap;

/** A coordination store in memory. One lock makes every operation atomic. */
public class InMemoryCoordinationStore implements CoordinationStore {

  private final TreeMap<String, Value> values = new TreeMap<>();
  private long index = 1;

  @Override
  public synchronized Value read(String key) {
    return values.get(key);
  }

  @Override
  public synchronized Listing list(String prefix) {
    return new Listing(
        index,
        values.tailMap(prefix).values().stream()
            .filter(value -> value.key().startsWith(prefix))
            .toList());
  }

  @Override
  public synchronized Listing watch(String prefix, long after) {
    try {
      if (index == after) {
        wait(50);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return list(prefix);
  }

  @Override
  public synchronized boolean checkAndSet(String key, long expectedIndex, String text) {
    return transact(List.of(new Write(key, expectedIndex, text)));
  }

  @Override
  public synchronized void checkAndDelete(String key, long expectedIndex) {
    if (values.containsKey(key)) {
      transact(List.of(new Write(key, expectedIndex, null)));
    }
  }

  @Override
  public synchronized boolean transact(List<Write> writes) {
    for (Write write : writes) {
      long expectedIndex = values.containsKey(write.key()) ? values.get(write.key()).index() : 0;
      if (write.index() != Write.ANY_INDEX && write.index() != expectedIndex) {
        return false;
      }
    }
    index++;
    for (Write write : writes) {
      if (write.newText() == null) {
        values.remove(write.key());
      } else {
        values.put(write.key(), new Value(write.key(), index, write.newText()));
      }
    }
    notifyAll();
    return true;
  }

  @Override
  public synchronized List<Value> readAll(List<String> keys) {
    return keys.stream().filter(values::containsKey).map(values::get).toList();
  }

  /** Returns a copy of the contents, for {@link #restore}. */
  public synchronized TreeMap<String, Value> copy() {
    return new TreeMap<>(values);
  }

  /**
   * Replaces the contents by an earlier copy, like a restore from a backup; the index keeps
   * increasing.
   */
  public synchronized void restore(TreeMap<String, Value> backup) {
    values.clear();
    values.putAll(backup);
    index++;
    notifyAll();
  }

  @Override
  public void close() {}
}

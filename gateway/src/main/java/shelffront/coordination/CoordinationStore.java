package shelffront.coordination;

import java.util.List;

/**
 * A small key-value store shared by the gateways of a fleet, for state that must not be lost and
 * decisions that must be made only once.
 *
 * <p>Invariants: reads are linearizable; every read sees all writes that were acknowledged before
 * it was sent. A write is applied only if the index of the key is the one that it names. The index
 * of a key changes with every write and is never reused.
 *
 * <p>Threads: thread-safe; calls block for a bounded time. After a {@link CoordinationException} it
 * is unknown whether a write was applied.
 */
public interface CoordinationStore extends AutoCloseable {

  /** Maximum number of operations in a transaction. */
  int MAX_TRANSACTION_OPERATIONS = 64;

  /** The text of a key and the index of its last write. */
  record Value(String key, long index, String text) {}

  /** The keys under a prefix and the index of the listing, from which {@link #watch} continues. */
  record Listing(long index, List<Value> values) {}

  /**
   * The write of one key in a transaction.
   *
   * @param index the index that the key must have; 0 if the key must not exist; {@link #ANY_INDEX}
   *     for an unconditional write
   * @param newText the new text; null removes the key
   */
  record Write(String key, long index, String newText) {

    /** Value of {@code index} that makes the write unconditional. */
    public static final long ANY_INDEX = -1;
  }

  /** Reads a key; null if it does not exist. */
  Value read(String key) throws CoordinationException;

  /**
   * Reads several keys, at most {@link #MAX_TRANSACTION_OPERATIONS}; as of one moment if all of
   * them exist. Keys that do not exist are absent from the result.
   */
  List<Value> readAll(List<String> keys) throws CoordinationException;

  /** Reads all keys under a prefix. */
  Listing list(String prefix) throws CoordinationException;

  /**
   * Waits until the index of the listing has passed the given one or the wait time of the store is
   * over, then reads all keys under the prefix.
   */
  Listing watch(String prefix, long afterIndex) throws CoordinationException;

  /**
   * Writes a key if it has the expected index, and returns whether it was written. Index 0 requires
   * that the key does not exist.
   */
  boolean checkAndSet(String key, long expectedIndex, String text) throws CoordinationException;

  /** Removes a key if it has the expected index. */
  void checkAndDelete(String key, long expectedIndex) throws CoordinationException;

  /**
   * Applies all writes, at most {@link #MAX_TRANSACTION_OPERATIONS}, or none of them; returns
   * whether they were applied.
   */
  boolean transact(List<Write> writes) throws CoordinationException;

  @Override
  void close();
}

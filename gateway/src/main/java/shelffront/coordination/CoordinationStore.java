package shelffront.coordination;

import java.util.List;

/**
 * A small key-value store that the gateways of a fleet share: it keeps what must not be lost or
 * decided twice.
 *
 * <p>Invariants: every read sees all writes that were answered before it was sent. A write is taken
 * only where the key has the index that it names. An index changes with every write of the key and
 * never comes back.
 *
 * <p>Threads: any may call; calls block for a bounded time. A {@link CoordinationException} says
 * why there is no answer; whether a write was taken is not known then.
 */
public interface CoordinationStore extends AutoCloseable {

  /** Operations that one transaction may have. */
  int MAX_TRANSACTION_OPERATIONS = 64;

  /** A key's text, and the index of its last write. */
  record Value(String key, long index, String text) {}

  /** What stands under a prefix, and the index of that answer. */
  record Listing(long index, List<Value> values) {}

  /**
   * One key's part in a transaction.
   *
   * @param index that the key must have; 0: there is no such key; {@link #ANY_INDEX}: whatever
   * @param newText null removes the key
   */
  record Write(String key, long index, String newText) {

    /** Whatever the key's index is. */
    public static final long ANY_INDEX = -1;
  }

  /** A key as it stands; null where there is none. */
  Value read(String key) throws CoordinationException;

  /**
   * Several keys as of one moment, those that there are; at most {@link
   * #MAX_TRANSACTION_OPERATIONS}.
   */
  List<Value> readAll(List<String> keys) throws CoordinationException;

  /** All keys under a prefix. */
  Listing list(String prefix) throws CoordinationException;

  /**
   * All keys under a prefix, once the listing's index has passed this one, or after a while of the
   * store's choice.
   */
  Listing watch(String prefix, long afterIndex) throws CoordinationException;

  /** Writes a key; whether it was taken. Index 0: only where there is no such key. */
  boolean checkAndSet(String key, long expectedIndex, String text) throws CoordinationException;

  /** Removes the key where it has the index. */
  void checkAndDelete(String key, long expectedIndex) throws CoordinationException;

  /**
   * Carries out all writes, at most {@link #MAX_TRANSACTION_OPERATIONS}, or none; whether they were
   * taken.
   */
  boolean transact(List<Write> writes) throws CoordinationException;

  @Override
  void close();
}

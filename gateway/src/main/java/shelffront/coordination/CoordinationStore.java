package shelffront.coordination;

import java.util.List;

/**
 * Keeps what must not be lost or decided twice. Every read sees all writes that were answered
 * before it was sent, and a write is taken only where the key has the index that it names. Calls
 * block for a bounded time; any thread may call.
 */
public interface CoordinationStore extends AutoCloseable {

  /** A key's text; the index changes with every write and never comes back. */
  record Value(String key, long index, String text) {}

  /** What stands under a prefix, and the index of that answer. */
  record Listing(long index, List<Value> values) {}

  /** A key, or null. */
  Value read(String key) throws CoordinationException;

  /** All keys under a prefix. */
  Listing list(String prefix) throws CoordinationException;

  /**
   * The same once its index has passed that of a listing, or after a while of the engine's choice.
   */
  Listing watch(String prefix, long after) throws CoordinationException;

  /** Whether it was taken; index 0: only where there is no such key. */
  boolean checkAndSet(String key, long index, String text) throws CoordinationException;

  /** Takes the key away where it has the index. */
  void checkAndDelete(String key, long index) throws CoordinationException;

  /**
   * One key's part in a transaction: its index must be this one (0: there is no such key); a text
   * of null removes it.
   */
  record Write(String key, long index, String newText) {

    /** Whatever the key's index is. */
    public static final long ANY_INDEX = -1;
  }

  /**
   * Carries out all writes, at most {@link #MAX_TRANSACTION_OPERATIONS}, or none; whether they were
   * taken.
   */
  boolean transact(List<Write> writes) throws CoordinationException;

  /**
   * Several keys as of one moment, those that there are; at most {@link
   * #MAX_TRANSACTION_OPERATIONS}.
   */
  List<Value> readAll(List<String> keys) throws CoordinationException;

  /** Operations that one transaction may have. */
  int MAX_TRANSACTION_OPERATIONS = 64;

  @Override
  void close();
}

package shelffront.rolloutcontrol;

import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;

/** Counts the open operations of each epoch. Thread-safe; calls do not wait for operations. */
final class OpenOperations {

  /** The result of {@link #oldestEpoch} if no operation is open. */
  static final long NONE = Long.MAX_VALUE;

  private final ConcurrentSkipListMap<Long, Integer> countByEpoch = new ConcurrentSkipListMap<>();

  void begin(long epoch) {
    countByEpoch.merge(epoch, 1, Integer::sum);
  }

  void end(long epoch) {
    countByEpoch.computeIfPresent(epoch, (key, count) -> count == 1 ? null : count - 1);
  }

  /** Returns the oldest epoch with an open operation, or {@link #NONE}. */
  long oldestEpoch() {
    Map.Entry<Long, Integer> first = countByEpoch.firstEntry();
    return first == null ? NONE : first.getKey();
  }
}

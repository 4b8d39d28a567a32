package shelffront.rolloutcontrol;

import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;

/** Counts the operations that are open under each epoch. Threads: any may call, none waits. */
final class OpenOperations {

  /** The oldest epoch where nothing is open. */
  static final long NONE = Long.MAX_VALUE;

  private final ConcurrentSkipListMap<Long, Integer> countByEpoch = new ConcurrentSkipListMap<>();

  void enter(long epoch) {
    countByEpoch.merge(epoch, 1, Integer::sum);
  }

  void leave(long epoch) {
    countByEpoch.computeIfPresent(epoch, (key, count) -> count == 1 ? null : count - 1);
  }

  /** The oldest epoch under which an operation is open; {@link #NONE} where none is. */
  long oldestEpoch() {
    Map.Entry<Long, Integer> first = countByEpoch.firstEntry();
    return first == null ? NONE : first.getKey();
  }
}

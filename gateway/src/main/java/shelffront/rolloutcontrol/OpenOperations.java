package shelffront.rolloutcontrol;

import java.util.concurrent.ConcurrentSkipListMap;

/** Counts the acts that go on under each epoch; any thread may call, none waits. */
final class OpenOperations {

  private final ConcurrentSkipListMap<Long, Integer> counts = new ConcurrentSkipListMap<>();

  void enter(long epoch) {
    counts.merge(epoch, 1, Integer::sum);
  }

  void leave(long epoch) {
    counts.computeIfPresent(epoch, (e, count) -> count == 1 ? null : count - 1);
  }

  /** The oldest epoch under which something goes on; the greatest number where nothing does. */
  long oldest() {
    var first = counts.firstEntry();
    return first == null ? Long.MAX_VALUE : first.getKey();
  }
}

package shelffront.lab.transport;

import java.util.PriorityQueue;

/**
 * A queue of tasks ordered by due time; tasks due at the same time keep the order in which they
 * were added. Not thread-safe.
 */
public final class TaskScheduler {

  private record Event(long atMicros, long order, Runnable task) implements Comparable<Event> {

    @Override
    public int compareTo(Event other) {
      return atMicros != other.atMicros
          ? Long.compare(atMicros, other.atMicros)
          : Long.compare(order, other.order);
    }
  }

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private long order;

  public void add(long atMicros, Runnable task) {
    events.add(new Event(atMicros, order++, task));
  }

  /** Returns when the next task is due, or {@link Long#MAX_VALUE} if there is none. */
  public long nextMicros() {
    return events.isEmpty() ? Long.MAX_VALUE : events.peek().atMicros;
  }

  /**
   * Removes and returns the next task.
   *
   * @throws java.util.NoSuchElementException if there is none
   */
  public Runnable poll() {
    return events.remove().task;
  }

  /** Returns the number of tasks added so far. */
  public long scheduledCount() {
    return order;
  }
}

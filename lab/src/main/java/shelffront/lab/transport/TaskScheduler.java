package shelffront.lab.transport;

import java.util.PriorityQueue;

/**
 * What is due when: by its time and, at the same time, in the order in which it was set. One
 * thread.
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

  /** When the next event is due; {@link Long#MAX_VALUE} if there is none. */
  public long nextMicros() {
    return events.isEmpty() ? Long.MAX_VALUE : events.peek().atMicros;
  }

  /** Takes out the next event's task; there must be one. */
  public Runnable poll() {
    return events.remove().task;
  }

  /** Events that have been set so far. */
  public long scheduledCount() {
    return order;
  }
}

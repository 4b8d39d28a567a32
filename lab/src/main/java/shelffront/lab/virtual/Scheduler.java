package shelffront.lab.virtual;

import java.util.PriorityQueue;
import shelffront.lab.model.Clock;

/** Virtual time: events by their times and, at the same time, in the order in which they were set. One thread. */
public final class Scheduler implements Clock {

    private record Event(long at, long order, Runnable task) implements Comparable<Event> {

        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long now;
    private long order;

    public Scheduler(long start) {
        now = start;
    }

    @Override
    public long now() {
        return now;
    }

    @Override
    public void at(long time, Runnable task) {
        events.add(new Event(Math.max(now, time), order++, task));
    }

    /** When the next event is due; {@link Long#MAX_VALUE} if there is none. */
    public long next() {
        return events.isEmpty() ? Long.MAX_VALUE : events.peek().at;
    }

    /** Lets time pass; never back, and not past an event. */
    public void advance(long to) {
        now = Math.max(now, Math.min(to, next()));
    }

    /** Runs the next event if it is due. */
    public boolean step() {
        if (next() > now) {
            return false;
        }
        events.poll().task.run();
        return true;
    }

    /** Events that have been set so far: a measure of a run's size. */
    public long count() {
        return order;
    }
}

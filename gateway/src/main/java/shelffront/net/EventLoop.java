package shelffront.net;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import shelffront.quota.DeficitRoundRobin;
import shelffront.quota.DeficitRoundRobin.Flow;

/**
 * The one thread that owns all state. Completion handlers only {@link #post} what they got; each
 * turn takes what was posted, sweeps the deadlines that are due, then flushes the connections that
 * were written to.
 */
public final class EventLoop {

  /** A task with its time; cancelled by whoever set it when it is no longer needed. */
  public final class Deadline {

    private final long at;
    private final long order = deadlineOrder++;
    private final Runnable task;

    private Deadline(long at, Runnable task) {
      this.at = at;
      this.task = task;
    }

    public void cancel() {
      deadlines.remove(this);
    }
  }

  /** Results taken before deadlines get their turn, so that a flood of input can't starve them. */
  private static final int RESULTS_A_TURN = 256;

  /** Microseconds that a flow of weight 1 may use before the next one has its turn. */
  private static final long QUANTUM = 200;

  private record Result(Flow<Runnable> flow, Runnable task) {}

  /** Bounded by what can be out: a read and a write for each connection, and one accept. */
  private final LinkedBlockingQueue<Result> results = new LinkedBlockingQueue<>();

  private final DeficitRoundRobin<Runnable> rounds = new DeficitRoundRobin<>(QUANTUM);
  private final Flow<Runnable> common = new Flow<>(1);
  private final TreeSet<Deadline> deadlines =
      new TreeSet<>(Comparator.<Deadline>comparingLong(d -> d.at).thenComparingLong(d -> d.order));
  private final Set<Connection> toFlush = new LinkedHashSet<>();
  private final LongSupplier clock;
  private final Counters counters;
  private long now;
  private long deadlineOrder;
  private boolean stopped;
  private volatile long worked;

  /** The clock gives Unix microseconds; it may step back, the time seen here never does. */
  public EventLoop(LongSupplier clock, Counters counters) {
    this.clock = clock;
    this.counters = counters;
    now = clock.getAsLong();
  }

  /**
   * Hands a result to the loop thread; the two ways to post are all that other threads may call.
   */
  public void post(Runnable result) {
    post(common, result);
  }

  /**
   * Flows have their turns by deficit round robin over the time they use, so that none can keep it
   * from others.
   */
  public void post(Flow<Runnable> flow, Runnable result) {
    results.add(new Result(flow, result));
  }

  /** The flow of what belongs to no tenant. */
  public Flow<Runnable> common() {
    return common;
  }

  /** Results that were posted and not taken yet. Any thread may ask. */
  public int waiting() {
    return results.size();
  }

  /** Deadlines that are set and not yet due. */
  public int deadlines() {
    return deadlines.size();
  }

  public long now() {
    return now;
  }

  public Deadline at(long time, Runnable task) {
    Deadline deadline = new Deadline(time, task);
    deadlines.add(deadline);
    return deadline;
  }

  /**
   * Counts from the clock as it is now: the turn's own time is old where what came before took
   * long.
   */
  public Deadline after(long delay, Runnable task) {
    tick();
    return at(now + delay, task);
  }

  void flushLater(Connection connection) {
    toFlush.add(connection);
  }

  void leave(Connection connection) {
    toFlush.remove(connection);
  }

  public void stop() {
    stopped = true;
  }

  public void run() throws InterruptedException {
    while (!stopped) {
      turn(
          rounds.isEmpty()
              ? results.poll(untilNextDeadline(), TimeUnit.MICROSECONDS)
              : results.poll());
    }
  }

  /** Takes a turn with what is there, without waiting: for whoever keeps the time himself. */
  public void turn() {
    turn(results.poll());
  }

  /** Whether a turn now would have anything to do; false once it is stopped. */
  public boolean isReady() {
    return !stopped && (!rounds.isEmpty() || !results.isEmpty() || untilNextDeadline() == 0);
  }

  public boolean isStopped() {
    return stopped;
  }

  /** When the next deadline is due; {@link Long#MAX_VALUE} if there is none. */
  public long nextDeadline() {
    return deadlines.isEmpty() ? Long.MAX_VALUE : deadlines.first().at;
  }

  private void turn(Result first) {
    sort(first);
    tick();
    long began = now;
    Runnable result = rounds.next();
    for (int i = 0; result != null; i++) {
      long from = now;
      guarded(result);
      tick();
      rounds.charge(now - from);
      sort(results.poll());
      result = i < RESULTS_A_TURN ? rounds.next() : null;
    }
    while (!deadlines.isEmpty() && deadlines.first().at <= now) {
      guarded(deadlines.pollFirst().task);
    }
    while (!toFlush.isEmpty()) {
      Connection connection = toFlush.iterator().next();
      toFlush.remove(connection);
      guarded(connection::flush);
    }
    tick();
    worked += now - began;
  }

  /** Microseconds that it has worked and not waited, as of its last turn. Any thread may ask. */
  public long worked() {
    return worked;
  }

  /** Puts what has come into its flows. */
  private void sort(Result result) {
    for (Result each = result; each != null; each = results.poll()) {
      rounds.add(each.flow(), each.task());
    }
  }

  private long untilNextDeadline() {
    return deadlines.isEmpty() ? Long.MAX_VALUE : Math.max(0, deadlines.first().at - now);
  }

  /**
   * Looks at the clock: once for each result, and where a start took long before the first turn.
   */
  public void tick() {
    now = Math.max(now, clock.getAsLong());
  }

  /** Guards against one faulty turn ending the program and with it every request that it holds. */
  private void guarded(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      counters.add(Counters.Name.FAULTS);
      e.printStackTrace();
    }
  }
}

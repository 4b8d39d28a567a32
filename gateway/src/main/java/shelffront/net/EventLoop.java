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
 * A single-threaded event loop; whatever belongs to it is used on its thread only. Other threads
 * only {@link #post} tasks. Each turn runs the posted tasks, then the deadlines that are due, then
 * flushes the connections that were written to. Times are Unix microseconds.
 */
public final class EventLoop {

  /** A scheduled task, which runs once unless it is cancelled before. */
  public final class Deadline {

    private final long atMicros;
    private final long sequence = nextDeadlineSequence++;
    private final Runnable task;

    private Deadline(long atMicros, Runnable task) {
      this.atMicros = atMicros;
      this.task = task;
    }

    public void cancel() {
      deadlines.remove(this);
    }
  }

  /** Tasks that run before due deadlines do, so that a flood of input can't starve those. */
  private static final int MAX_TASKS_PER_TURN = 256;

  /** Time that a flow of weight 1 may use before the next flow is served. */
  private static final long QUANTUM_MICROS = 200;

  private record PostedTask(Flow<Runnable> flow, Runnable task) {}

  /** Bounded by the outstanding operations: a read and a write per connection, and one accept. */
  private final LinkedBlockingQueue<PostedTask> postedTasks = new LinkedBlockingQueue<>();

  private final DeficitRoundRobin<Runnable> readyTasks = new DeficitRoundRobin<>(QUANTUM_MICROS);
  private final Flow<Runnable> sharedFlow = new Flow<>(1);
  private final TreeSet<Deadline> deadlines =
      new TreeSet<>(
          Comparator.<Deadline>comparingLong(deadline -> deadline.atMicros)
              .thenComparingLong(deadline -> deadline.sequence));
  private final Set<Connection> toFlush = new LinkedHashSet<>();
  private final LongSupplier clock;
  private final Counters counters;
  private long nowMicros;
  private long nextDeadlineSequence;
  private boolean stopped;
  private volatile long busyMicros;

  /** The clock gives Unix microseconds and may step back; {@link #nowMicros} never does. */
  public EventLoop(LongSupplier clock, Counters counters) {
    this.clock = clock;
    this.counters = counters;
    nowMicros = clock.getAsLong();
  }

  /** Has the loop thread run a task, in the flow that belongs to no tenant. Any thread may call. */
  public void post(Runnable task) {
    post(sharedFlow, task);
  }

  /**
   * Has the loop thread run a task of a flow. Flows share the thread's time by deficit round robin,
   * so that none starves another. Any thread may call.
   */
  public void post(Flow<Runnable> flow, Runnable task) {
    postedTasks.add(new PostedTask(flow, task));
  }

  /** The flow of what belongs to no tenant. */
  public Flow<Runnable> sharedFlow() {
    return sharedFlow;
  }

  /** Tasks that were posted and not run yet. Any thread may ask. */
  public int queuedTaskCount() {
    return postedTasks.size();
  }

  /** Deadlines that are set and not yet due. */
  public int deadlineCount() {
    return deadlines.size();
  }

  public long nowMicros() {
    return nowMicros;
  }

  /** Runs the task in the first turn at or after this time. On the loop thread. */
  public Deadline scheduleAt(long atMicros, Runnable task) {
    Deadline deadline = new Deadline(atMicros, task);
    deadlines.add(deadline);
    return deadline;
  }

  /**
   * Runs the task after a delay from the clock's present time, not from that of the running task,
   * which may have begun long ago. On the loop thread.
   */
  public Deadline scheduleAfter(long delayMicros, Runnable task) {
    updateClock();
    return scheduleAt(nowMicros + delayMicros, task);
  }

  void flushLater(Connection connection) {
    toFlush.add(connection);
  }

  void cancelFlush(Connection connection) {
    toFlush.remove(connection);
  }

  public void stop() {
    stopped = true;
  }

  /** Takes turns, waiting for tasks and deadlines, until {@link #stop}. */
  public void run() throws InterruptedException {
    while (!stopped) {
      runTurn(
          readyTasks.isEmpty()
              ? postedTasks.poll(microsUntilNextDeadline(), TimeUnit.MICROSECONDS)
              : postedTasks.poll());
    }
  }

  /** Runs one turn without waiting, for a caller with a virtual clock. */
  public void runTurn() {
    runTurn(postedTasks.poll());
  }

  /** Whether a task or a deadline is due; false once it is stopped. */
  public boolean isReady() {
    return !stopped
        && (!readyTasks.isEmpty() || !postedTasks.isEmpty() || microsUntilNextDeadline() == 0);
  }

  public boolean isStopped() {
    return stopped;
  }

  /** When the next deadline is due; {@link Long#MAX_VALUE} if there is none. */
  public long nextDeadlineMicros() {
    return deadlines.isEmpty() ? Long.MAX_VALUE : deadlines.first().atMicros;
  }

  private void runTurn(PostedTask first) {
    distributeToFlows(first);
    updateClock();
    long turnStartMicros = nowMicros;
    Runnable task = readyTasks.next();
    for (int i = 0; task != null; i++) {
      long taskStartMicros = nowMicros;
      runGuarded(task);
      updateClock();
      readyTasks.charge(nowMicros - taskStartMicros);
      distributeToFlows(postedTasks.poll());
      task = i < MAX_TASKS_PER_TURN ? readyTasks.next() : null;
    }
    while (!deadlines.isEmpty() && deadlines.first().atMicros <= nowMicros) {
      runGuarded(deadlines.pollFirst().task);
    }
    while (!toFlush.isEmpty()) {
      Connection connection = toFlush.iterator().next();
      toFlush.remove(connection);
      runGuarded(connection::flush);
    }
    updateClock();
    busyMicros += nowMicros - turnStartMicros;
  }

  /** Time spent running tasks and not waiting, as of its last turn. Any thread may ask. */
  public long busyMicros() {
    return busyMicros;
  }

  /** Moves posted tasks to the queues of their flows. */
  private void distributeToFlows(PostedTask result) {
    for (PostedTask each = result; each != null; each = postedTasks.poll()) {
      readyTasks.add(each.flow(), each.task());
    }
  }

  private long microsUntilNextDeadline() {
    return deadlines.isEmpty()
        ? Long.MAX_VALUE
        : Math.max(0, deadlines.first().atMicros - nowMicros);
  }

  /** Reads the clock: after each task, and after a long start before the first turn. */
  public void updateClock() {
    nowMicros = Math.max(nowMicros, clock.getAsLong());
  }

  /** Counts and prints an exception of a task, so that it does not end the loop. */
  private void runGuarded(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      counters.add(Counters.Name.FAULTS);
      e.printStackTrace();
    }
  }
}

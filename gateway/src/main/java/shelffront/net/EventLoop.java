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
 * A single-threaded event loop. Everything that it owns is used on its thread only; other threads
 * {@link #post} tasks. Each turn runs posted tasks, then the deadlines that are due, then flushes
 * the connections that have new output. Times are Unix microseconds.
 */
public final class EventLoop {

  /** A scheduled task, which runs once unless it is cancelled first. */
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

  /** Limit of the tasks in a turn, so that a flood of input cannot starve due deadlines. */
  private static final int MAX_TASKS_PER_TURN = 256;

  /** Time that a flow of weight 1 may use before the next flow runs. */
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

  /**
   * Creates a loop. The clock returns Unix microseconds and may step back; {@link #nowMicros} never
   * decreases.
   */
  public EventLoop(LongSupplier clock, Counters counters) {
    this.clock = clock;
    this.counters = counters;
    nowMicros = clock.getAsLong();
  }

  /** Runs a task on the loop thread, in the flow that belongs to no tenant. Any thread may call. */
  public void post(Runnable task) {
    post(sharedFlow, task);
  }

  /**
   * Runs a task of a flow on the loop thread. Flows share the thread's time by deficit round robin,
   * so that no flow starves another. Any thread may call.
   */
  public void post(Flow<Runnable> flow, Runnable task) {
    postedTasks.add(new PostedTask(flow, task));
  }

  /** The flow of tasks that belong to no tenant. */
  public Flow<Runnable> sharedFlow() {
    return sharedFlow;
  }

  /** The number of posted tasks not yet assigned to their flow's queue. Any thread may call. */
  public int queuedTaskCount() {
    return postedTasks.size();
  }

  /** The number of deadlines that have neither run nor been cancelled. */
  public int deadlineCount() {
    return deadlines.size();
  }

  public long nowMicros() {
    return nowMicros;
  }

  /** Schedules a task for the first turn at or after this time. Called on the loop thread. */
  public Deadline scheduleAt(long atMicros, Runnable task) {
    Deadline deadline = new Deadline(atMicros, task);
    deadlines.add(deadline);
    return deadline;
  }

  /**
   * Schedules a task after a delay from the current time of the clock, not from the start of the
   * running task, which may have started long ago. Called on the loop thread.
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

  /** Runs turns, waiting for tasks and deadlines, until {@link #stop}. */
  public void run() throws InterruptedException {
    while (!stopped) {
      runTurn(
          readyTasks.isEmpty()
              ? postedTasks.poll(microsUntilNextDeadline(), TimeUnit.MICROSECONDS)
              : postedTasks.poll());
    }
  }

  /** Runs one turn without waiting, for callers with a virtual clock. */
  public void runTurn() {
    runTurn(postedTasks.poll());
  }

  /** Whether a task or a deadline is due; false once the loop is stopped. */
  public boolean isReady() {
    return !stopped
        && (!readyTasks.isEmpty() || !postedTasks.isEmpty() || microsUntilNextDeadline() == 0);
  }

  public boolean isStopped() {
    return stopped;
  }

  /** The time of the next deadline; {@link Long#MAX_VALUE} if there is none. */
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

  /** Time spent in turns, without waiting, as of the last turn. Any thread may call. */
  public long busyMicros() {
    return busyMicros;
  }

  /** Moves posted tasks to the queues of their flows. */
  private void distributeToFlows(PostedTask first) {
    for (PostedTask each = first; each != null; each = postedTasks.poll()) {
      readyTasks.add(each.flow(), each.task());
    }
  }

  private long microsUntilNextDeadline() {
    return deadlines.isEmpty()
        ? Long.MAX_VALUE
        : Math.max(0, deadlines.first().atMicros - nowMicros);
  }

  /** Reads the clock. Called after each task, and before the first turn if the start was long. */
  public void updateClock() {
    nowMicros = Math.max(nowMicros, clock.getAsLong());
  }

  /** Runs a task; counts and prints its exception, so that it does not end the loop. */
  private void runGuarded(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      counters.add(Counters.Name.FAULTS);
      e.printStackTrace();
    }
  }
}

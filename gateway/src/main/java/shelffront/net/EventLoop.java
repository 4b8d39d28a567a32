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

    private final long atMicros;
    private final long sequence = nextDeadlineSequence++;
    private final Runnable task;

    private Deadline(long at, Runnable task) {
      this.atMicros = at;
      this.task = task;
    }

    public void cancel() {
      deadlines.remove(this);
    }
  }

  /** Results taken before deadlines get their turn, so that a flood of input can't starve them. */
  private static final int MAX_TASKS_PER_TURN = 256;

  /** Microseconds that a flow of weight 1 may use before the next one has its turn. */
  private static final long QUANTUM_MICROS = 200;

  private record PostedTask(Flow<Runnable> flow, Runnable task) {}

  /** Bounded by what can be out: a read and a write for each connection, and one accept. */
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

  /** The clock gives Unix microseconds; it may step back, the time seen here never does. */
  public EventLoop(LongSupplier clock, Counters counters) {
    this.clock = clock;
    this.counters = counters;
    nowMicros = clock.getAsLong();
  }

  /**
   * Hands a result to the loop thread; the two ways to post are all that other threads may call.
   */
  public void post(Runnable result) {
    post(sharedFlow, result);
  }

  /**
   * Flows have their turns by deficit round robin over the time they use, so that none can keep it
   * from others.
   */
  public void post(Flow<Runnable> flow, Runnable result) {
    postedTasks.add(new PostedTask(flow, result));
  }

  /** The flow of what belongs to no tenant. */
  public Flow<Runnable> sharedFlow() {
    return sharedFlow;
  }

  /** Results that were posted and not taken yet. Any thread may ask. */
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

  /** Runs the task on the loop thread in the first turn at or after this time. */
  public Deadline scheduleAt(long time, Runnable task) {
    Deadline deadline = new Deadline(time, task);
    deadlines.add(deadline);
    return deadline;
  }

  /**
   * Counts from the clock as it is now: the turn's own time is old where what came before took
   * long.
   */
  public Deadline scheduleAfter(long delay, Runnable task) {
    updateClock();
    return scheduleAt(nowMicros + delay, task);
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

  /** Takes a turn with what is there, without waiting: for whoever keeps the time himself. */
  public void runTurn() {
    runTurn(postedTasks.poll());
  }

  /** Whether a turn now would have anything to do; false once it is stopped. */
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
    long began = nowMicros;
    Runnable result = readyTasks.next();
    for (int i = 0; result != null; i++) {
      long from = nowMicros;
      runGuarded(result);
      updateClock();
      readyTasks.charge(nowMicros - from);
      distributeToFlows(postedTasks.poll());
      result = i < MAX_TASKS_PER_TURN ? readyTasks.next() : null;
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
    busyMicros += nowMicros - began;
  }

  /** Microseconds that it has worked and not waited, as of its last turn. Any thread may ask. */
  public long busyMicros() {
    return busyMicros;
  }

  /** Puts what has come into its flows. */
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

  /**
   * Looks at the clock: once for each result, and where a start took long before the first turn.
   */
  public void updateClock() {
    nowMicros = Math.max(nowMicros, clock.getAsLong());
  }

  /** Guards against one faulty turn ending the program and with it every request that it holds. */
  private void runGuarded(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      counters.add(Counters.Name.FAULTS);
      e.printStackTrace();
    }
  }
}

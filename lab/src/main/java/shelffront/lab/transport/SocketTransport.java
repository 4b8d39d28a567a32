package shelffront.lab.transport;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import shelffront.lab.model.Clock;

/**
 * Loopback sockets in real time. One thread waits for channels and for what is due, runs every task
 * and owns all state of the parties: a message costs one wake-up, where completions that post cost
 * two. Within a millisecond of what is due it does not sleep. It notes how late its tasks run: a
 * party that was slow because the machine is says so.
 */
public final class SocketTransport implements Transport, Clock, AutoCloseable {

  private static final int STACK_BYTES = 256 * 1024;
  private static final long LONGEST_LATENESS_MICROS = 60_000_000;
  private static final int LATENESS_DIGITS = 3;
  private static final int BACKLOG = 4096;
  private static final int READ_BUFFER_BYTES = 16 * 1024;
  private static final long FAILURE_CHECK_MILLIS = 100;

  /** Closer than this a wait could only end too late: a selector waits whole milliseconds. */
  private static final long SHORTEST_WAIT_MICROS = 1_200;

  private final TaskScheduler tasks = new TaskScheduler();
  private final Queue<Runnable> posted = new ConcurrentLinkedQueue<>();
  private final Selector selector;
  private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BUFFER_BYTES);
  private final Thread thread;
  private final Histogram latenessMicros =
      new ConcurrentHistogram(LONGEST_LATENESS_MICROS, LATENESS_DIGITS);
  private volatile boolean closed;
  private volatile RuntimeException failure;

  /** Its thread is a daemon, which ends with {@link #close}. */
  public SocketTransport(String name) throws IOException {
    selector = Selector.open();
    thread = new Thread(null, this::run, name, STACK_BYTES);
    thread.setDaemon(true);
    thread.start();
  }

  private void run() {
    try {
      while (!closed) {
        runTurn();
      }
    } catch (RuntimeException e) {
      failure = e;
    } catch (IOException e) {
      failure = new IllegalStateException("a selector that can't select", e);
    } finally {
      selector.keys().forEach(key -> closeQuietly((AutoCloseable) key.channel()));
      closeQuietly(selector);
    }
  }

  private void runTurn() throws IOException {
    long next = tasks.nextMicros();
    long wait = next == Long.MAX_VALUE ? next : next - nowMicros();
    if (!posted.isEmpty() || wait < SHORTEST_WAIT_MICROS) {
      selector.selectNow();
    } else {
      selector.select(wait == Long.MAX_VALUE ? 0 : wait / 1000);
    }
    for (SelectionKey key : selector.selectedKeys()) {
      ((ReadyHandler) key.attachment()).ready(key);
    }
    selector.selectedKeys().clear();
    for (Runnable task = posted.poll(); task != null; task = posted.poll()) {
      task.run();
    }
    long now = nowMicros();
    while (tasks.nextMicros() <= now) {
      latenessMicros.recordValue(
          Math.min(latenessMicros.getHighestTrackableValue(), now - tasks.nextMicros()));
      tasks.poll().run();
    }
    if (wait < SHORTEST_WAIT_MICROS) {
      Thread.onSpinWait();
    }
  }

  /** Runs a task on its thread, soon. Any thread may call. */
  public void post(Runnable task) {
    posted.add(task);
    selector.wakeup();
  }

  /**
   * Waits for what its tasks count down; throws where one of them has failed instead. Any other
   * thread may call.
   */
  public void await(CountDownLatch over) throws InterruptedException {
    while (!over.await(FAILURE_CHECK_MILLIS, TimeUnit.MILLISECONDS)) {
      if (failure != null) {
        throw new IllegalStateException("a task on " + thread.getName() + " has failed", failure);
      }
      if (closed) {
        return;
      }
    }
  }

  @Override
  public Clock clock() {
    return this;
  }

  @Override
  public long nowMicros() {
    return ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
  }

  @Override
  public void at(long time, Runnable task) {
    tasks.add(time, task);
  }

  /** Microseconds from when tasks were due until they ran. */
  public Histogram latenessMicros() {
    return latenessMicros;
  }

  @Override
  public TransportConnection connect(
      InetSocketAddress address, TransportConnection.Listener listener) {
    SocketConnection connection = new SocketConnection(listener, readBuffer, posted::add);
    try {
      connection.channel = SocketChannel.open();
      connection.channel.configureBlocking(false);
      connection.channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
      connection.key = connection.channel.register(selector, SelectionKey.OP_CONNECT, connection);
      connection.channel.connect(address);
    } catch (IOException e) {
      posted.add(connection::failedToConnect);
    }
    return connection;
  }

  @Override
  public void listen(
      InetSocketAddress address, Function<TransportConnection, TransportConnection.Listener> accept)
      throws IOException {
    open(address, accept);
  }

  /** Listens on a port that nobody else has; where. Any thread may call. */
  public InetSocketAddress listen(
      Function<TransportConnection, TransportConnection.Listener> accept) throws IOException {
    return open(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), accept);
  }

  private InetSocketAddress open(
      InetSocketAddress address, Function<TransportConnection, TransportConnection.Listener> accept)
      throws IOException {
    ServerSocketChannel listener = ServerSocketChannel.open();
    try {
      listener.configureBlocking(false);
      listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
      listener.bind(address, BACKLOG);
      listener.register(
          selector, SelectionKey.OP_ACCEPT, (ReadyHandler) key -> accept(listener, accept));
    } catch (IOException e) {
      listener.close();
      throw e;
    }
    selector.wakeup();
    return (InetSocketAddress) listener.getLocalAddress();
  }

  private void accept(
      ServerSocketChannel listener,
      Function<TransportConnection, TransportConnection.Listener> accept) {
    try {
      for (SocketChannel channel = listener.accept();
          channel != null;
          channel = listener.accept()) {
        channel.configureBlocking(false);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        SocketConnection connection = new SocketConnection(null, readBuffer, posted::add);
        connection.channel = channel;
        connection.key = channel.register(selector, 0, connection);
        connection.listener = accept.apply(connection);
        if (connection.listener == null) {
          connection.reset();
        } else {
          connection.connected();
        }
      }
    } catch (IOException e) {
      // Out of descriptors, or the client has gone: the selector tells again of those that still
      // wait.
    }
  }

  @Override
  public void close() {
    closed = true;
    selector.wakeup();
    if (Thread.currentThread() != thread) {
      try {
        thread.join();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  static void closeQuietly(AutoCloseable channel) {
    try {
      channel.close();
    } catch (Exception e) {
      // It is closed or breaks either way.
    }
  }
}

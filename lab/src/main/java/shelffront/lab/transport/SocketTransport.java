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
 * Loopback sockets in real time. One thread selects on all channels, runs all tasks and owns the
 * state of all handlers, so a message costs one wake-up; completion handlers that post to a thread
 * would cost two. The thread polls instead of sleeping when a task is due within about a
 * millisecond. The delay of tasks past their due time is recorded, so that results show when the
 * machine was too slow.
 */
public final class SocketTransport implements Transport, Clock, AutoCloseable {

  private static final int STACK_BYTES = 256 * 1024;
  private static final long LONGEST_LATENESS_MICROS = 60_000_000;
  private static final int LATENESS_DIGITS = 3;
  private static final int BACKLOG = 4096;
  private static final int READ_BUFFER_BYTES = 16 * 1024;
  private static final long FAILURE_CHECK_MILLIS = 100;

  /** Below this the thread polls: a selector waits whole milliseconds and would wake up late. */
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

  /** Starts the thread, a daemon that runs until {@link #close}. */
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
      failure =
          new IllegalStateException(
              "selector of transport thread " + thread.getName() + " failed", e);
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

  /** Runs a task on the transport's thread as soon as possible. May be called from any thread. */
  public void post(Runnable task) {
    posted.add(task);
    selector.wakeup();
  }

  /**
   * Waits until tasks have counted the latch down, or until the transport is closed. May be called
   * from any thread but the transport's.
   *
   * @throws IllegalStateException if a task has failed
   */
  public void await(CountDownLatch latch) throws InterruptedException {
    while (!latch.await(FAILURE_CHECK_MILLIS, TimeUnit.MILLISECONDS)) {
      if (failure != null) {
        throw new IllegalStateException(
            "a task on transport thread " + thread.getName() + " failed", failure);
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

  /** Returns the delay of tasks past their due time, in microseconds. */
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

  /**
   * Listens on an unused loopback port and returns its address. May be called from any thread.
   *
   * @throws IOException if no port can be bound
   */
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
      // The process is out of file descriptors, or the client has disconnected. The selector
      // reports
      // the channel again while connections are waiting.
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
      // The channel is discarded in any case.
    }
  }
}

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
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
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

  private static final int BACKLOG = 4096;
  private static final int CHUNK = 16 * 1024;
  private static final long CHECK_MILLIS = 100;

  /** Closer than this a wait could only end too late: a selector waits whole milliseconds. */
  private static final long TOO_SHORT = 1_200;

  private final TaskScheduler events = new TaskScheduler();
  private final Queue<Runnable> posted = new ConcurrentLinkedQueue<>();
  private final Selector selector;
  private final ByteBuffer into = ByteBuffer.allocateDirect(CHUNK);
  private final Thread thread;
  private final Histogram lateness = new ConcurrentHistogram(60_000_000L, 3);
  private volatile boolean closed;
  private volatile RuntimeException failure;

  /** Its thread is a daemon, which ends with {@link #close}. */
  public SocketTransport(String name) throws IOException {
    selector = Selector.open();
    thread = new Thread(null, this::run, name, 256 * 1024);
    thread.setDaemon(true);
    thread.start();
  }

  private void run() {
    try {
      while (!closed) {
        turn();
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

  private void turn() throws IOException {
    long next = events.next();
    long wait = next == Long.MAX_VALUE ? next : next - now();
    if (!posted.isEmpty() || wait < TOO_SHORT) {
      selector.selectNow();
    } else {
      selector.select(wait == Long.MAX_VALUE ? 0 : wait / 1000);
    }
    for (SelectionKey key : selector.selectedKeys()) {
      ((Ready) key.attachment()).ready(key);
    }
    selector.selectedKeys().clear();
    for (Runnable task = posted.poll(); task != null; task = posted.poll()) {
      task.run();
    }
    long now = now();
    while (events.next() <= now) {
      lateness.recordValue(Math.min(lateness.getHighestTrackableValue(), now - events.next()));
      events.poll().run();
    }
    if (wait < TOO_SHORT) {
      Thread.onSpinWait();
    }
  }

  private interface Ready {

    void ready(SelectionKey key);
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
    while (!over.await(CHECK_MILLIS, TimeUnit.MILLISECONDS)) {
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
  public long now() {
    return ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
  }

  @Override
  public void at(long time, Runnable task) {
    events.add(time, task);
  }

  /** Microseconds from when tasks were due until they ran. */
  public Histogram lateness() {
    return lateness;
  }

  @Override
  public TransportConnection connect(InetSocketAddress to, TransportConnection.Owner owner) {
    SocketWire wire = new SocketWire(owner);
    try {
      wire.channel = SocketChannel.open();
      wire.channel.configureBlocking(false);
      wire.channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
      wire.key = wire.channel.register(selector, SelectionKey.OP_CONNECT, wire);
      wire.channel.connect(to);
    } catch (IOException e) {
      posted.add(wire::failedToConnect);
    }
    return wire;
  }

  @Override
  public void listen(
      InetSocketAddress at, Function<TransportConnection, TransportConnection.Owner> accept)
      throws IOException {
    open(at, accept);
  }

  /** Listens on a port that nobody else has; where. Any thread may call. */
  public InetSocketAddress listen(Function<TransportConnection, TransportConnection.Owner> accept)
      throws IOException {
    return open(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), accept);
  }

  private InetSocketAddress open(
      InetSocketAddress at, Function<TransportConnection, TransportConnection.Owner> accept)
      throws IOException {
    ServerSocketChannel listener = ServerSocketChannel.open();
    try {
      listener.configureBlocking(false);
      listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
      listener.bind(at, BACKLOG);
      listener.register(selector, SelectionKey.OP_ACCEPT, (Ready) key -> accept(listener, accept));
    } catch (IOException e) {
      listener.close();
      throw e;
    }
    selector.wakeup();
    return (InetSocketAddress) listener.getLocalAddress();
  }

  private void accept(
      ServerSocketChannel listener,
      Function<TransportConnection, TransportConnection.Owner> accept) {
    try {
      for (SocketChannel channel = listener.accept();
          channel != null;
          channel = listener.accept()) {
        channel.configureBlocking(false);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        SocketWire wire = new SocketWire(null);
        wire.channel = channel;
        wire.key = channel.register(selector, 0, wire);
        wire.owner = accept.apply(wire);
        if (wire.owner == null) {
          wire.reset();
        } else {
          wire.connected();
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

  private static void closeQuietly(AutoCloseable channel) {
    try {
      channel.close();
    } catch (Exception e) {
      // It is closed or breaks either way.
    }
  }

  private final class SocketWire implements TransportConnection, Ready {

    private SocketChannel channel;
    private SelectionKey key;
    private Owner owner;
    private final List<byte[]> in = new ArrayList<>();
    private final ArrayDeque<ByteBuffer> out = new ArrayDeque<>();
    private int inBytes;
    private int inFrom; // of the first piece, what has been read
    private int outBytes;
    private boolean connected;
    private boolean ended;
    private boolean broken;
    private boolean closing;
    private boolean over;

    SocketWire(Owner owner) {
      this.owner = owner;
    }

    private void connected() {
      connected = true;
      interest();
      owner.connected();
    }

    private void failedToConnect() {
      if (!over) {
        end();
        owner.refused();
      }
    }

    private void interest() {
      if (!over && key.isValid()) {
        key.interestOps(
            (ended || broken || inBytes >= WINDOW ? 0 : SelectionKey.OP_READ)
                | (out.isEmpty() ? 0 : SelectionKey.OP_WRITE));
      }
    }

    @Override
    public void ready(SelectionKey ready) {
      if (over) {
        return;
      }
      if (!connected) {
        try {
          channel.finishConnect();
        } catch (IOException e) {
          failedToConnect();
          return;
        }
        connected();
        return;
      }
      int ops = ready.readyOps();
      if ((ops & SelectionKey.OP_WRITE) != 0) {
        flush();
        if (!over && !closing) {
          owner.writable();
        }
      }
      if (!over && (ops & SelectionKey.OP_READ) != 0) {
        fill();
      }
    }

    private void fill() {
      try {
        into.clear();
        int count = channel.read(into);
        if (count < 0) {
          ended = true;
        } else if (count > 0) {
          byte[] piece = new byte[count];
          into.flip().get(piece);
          in.add(piece);
          inBytes += count;
        }
      } catch (IOException e) {
        broken = true;
      }
      interest();
      if (closing) {
        in.clear(); // nobody reads any more
        inBytes = 0;
        if (broken) {
          end();
        }
      } else {
        owner.readable();
      }
    }

    @Override
    public boolean isConnected() {
      return connected;
    }

    @Override
    public int room() {
      return connected && !over ? Math.max(0, WINDOW - outBytes) : 0;
    }

    @Override
    public void write(byte[] bytes) {
      if (over || closing) {
        return;
      }
      outBytes += bytes.length;
      out.add(ByteBuffer.wrap(bytes));
      flush();
    }

    private void flush() {
      try {
        while (!out.isEmpty()) {
          outBytes -= channel.write(out.peek());
          if (out.peek().hasRemaining()) {
            break;
          }
          out.poll();
        }
      } catch (IOException e) {
        out.clear();
        outBytes = 0;
        broken = true;
        if (!closing) {
          posted.add(
              () -> {
                if (!over) {
                  owner.readable();
                }
              });
        }
      }
      if (closing && out.isEmpty()) {
        end();
      } else {
        interest();
      }
    }

    @Override
    public int available() {
      return inBytes;
    }

    @Override
    public int read(ByteBuffer to, int most) {
      int count = 0;
      while (!in.isEmpty() && to.hasRemaining() && count < most) {
        byte[] first = in.get(0);
        int take = Math.min(Math.min(first.length - inFrom, to.remaining()), most - count);
        to.put(first, inFrom, take);
        count += take;
        inFrom += take;
        if (inFrom == first.length) {
          in.remove(0);
          inFrom = 0;
        }
      }
      inBytes -= count;
      interest();
      return count;
    }

    @Override
    public boolean atEnd() {
      return ended && inBytes == 0;
    }

    @Override
    public boolean isReset() {
      return broken;
    }

    @Override
    public void close() {
      closing = true;
      if (out.isEmpty() || broken) {
        end();
      }
    }

    @Override
    public void reset() {
      if (!over && channel != null) {
        try {
          channel.setOption(StandardSocketOptions.SO_LINGER, 0);
        } catch (IOException e) {
          // It is closed already.
        }
      }
      end();
    }

    private void end() {
      if (!over) {
        over = true;
        if (channel != null) {
          closeQuietly(channel);
        }
      }
    }
  }
}

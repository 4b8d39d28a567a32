package shelffront.lab.virtual;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.SocketException;
import java.net.SocketOption;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousCloseException;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.CompletionHandler;
import java.util.ArrayDeque;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.UnaryOperator;
import shelffront.lab.transport.TransportConnection;
import shelffront.net.Channels;

/**
 * A program's channels on the virtual network: NIO.2's classes with nothing behind them but {@link
 * SimulatedSocket}s. Completion handlers run as events of their own, never from within the call
 * that began the operation. What the program under test does not use is not there.
 */
public final class VirtualChannels implements Channels {

  private final VirtualNetwork net;
  private final SimulatedMachine machine;
  private final int mostOpen;
  private UnaryOperator<byte[]> out = bytes -> bytes;
  private UnaryOperator<byte[]> in = bytes -> bytes;
  private boolean keepsOpen;
  private int open;

  /** Of a process on a machine that may have so many descriptors. */
  public VirtualChannels(VirtualNetwork net, SimulatedMachine machine, int mostOpen) {
    this.net = net;
    this.machine = machine;
    this.mostOpen = mostOpen;
  }

  /**
   * Has the program write, and read, something else than it does: what a broken one would. Tests
   * use it.
   */
  public void tamper(UnaryOperator<byte[]> written, UnaryOperator<byte[]> read) {
    out = written;
    in = read;
  }

  /**
   * Has the program's connections stay open to the others though it has closed them. Tests use it.
   */
  public void keepOpen() {
    keepsOpen = true;
  }

  /** Channels that are open now. */
  public int openNow() {
    return open;
  }

  @Override
  public AsynchronousSocketChannel open() throws IOException {
    if (open >= mostOpen) {
      throw new IOException("Too many open files");
    }
    return new Channel();
  }

  @Override
  public AsynchronousServerSocketChannel listen(SocketAddress address, int backlog) {
    return new Listener((InetSocketAddress) address, backlog);
  }

  @Override
  public void shutdown() {}

  private static UnsupportedOperationException unused() {
    return new UnsupportedOperationException("not part of the virtual network");
  }

  private final class Channel extends AsynchronousSocketChannel
      implements TransportConnection.Owner {

    private SimulatedSocket end;
    private boolean closed;
    private InetSocketAddress remote;
    private Runnable connectDone;
    private Runnable connectFailed;
    private Runnable read; // looks whether the read that is out can end
    private Runnable write;

    Channel() {
      super(null);
      open++;
    }

    private <T, A> void complete(CompletionHandler<T, ? super A> handler, T result, A attachment) {
      net.clock().after(0, () -> handler.completed(result, attachment));
    }

    private <T, A> void fail(CompletionHandler<T, ? super A> handler, Throwable why, A attachment) {
      net.clock().after(0, () -> handler.failed(why, attachment));
    }

    @Override
    public <A> void connect(
        SocketAddress to, A attachment, CompletionHandler<Void, ? super A> handler) {
      remote = (InetSocketAddress) to;
      connectDone = () -> complete(handler, null, attachment);
      connectFailed =
          () ->
              fail(
                  handler,
                  closed
                      ? new AsynchronousCloseException()
                      : new ConnectException("Connection refused"),
                  attachment);
      end = net.connect(machine, remote, this);
    }

    @Override
    public void connected() {
      Runnable done = connectDone;
      connectDone = null;
      connectFailed = null;
      done.run();
    }

    @Override
    public void refused() {
      Runnable failed = connectFailed;
      connectFailed = null;
      if (failed != null) {
        failed.run();
      }
    }

    @Override
    public void readable() {
      if (read != null) {
        read.run();
      }
      if (write != null && end.isReset()) {
        write.run();
      }
    }

    @Override
    public void writable() {
      if (write != null) {
        write.run();
      }
    }

    /**
     * Ends a read or a write if it can: by a failure, by moving bytes where some can be moved, or
     * at the end.
     */
    private <A> boolean ends(
        CompletionHandler<Integer, ? super A> handler,
        A attachment,
        boolean movable,
        boolean atEnd,
        IntSupplier move) {
      if (closed) {
        fail(handler, new AsynchronousCloseException(), attachment);
      } else if (end.isReset()) {
        fail(handler, new SocketException("Connection reset"), attachment);
      } else if (movable) {
        complete(handler, move.getAsInt(), attachment);
      } else if (atEnd) {
        complete(handler, -1, attachment);
      } else {
        return false;
      }
      return true;
    }

    @Override
    public <A> void read(
        ByteBuffer into,
        long timeout,
        TimeUnit unit,
        A attachment,
        CompletionHandler<Integer, ? super A> handler) {
      if (read != null) {
        throw new IllegalStateException("a read is out");
      }
      read =
          () -> {
            if (ends(
                handler,
                attachment,
                end.available() > 0,
                end.atEnd(),
                () -> {
                  ByteBuffer some =
                      ByteBuffer.allocate(net.some(Math.min(end.available(), into.remaining())));
                  end.read(some, some.remaining());
                  into.put(in.apply(some.array()));
                  return some.position();
                })) {
              read = null;
            }
          };
      read.run();
    }

    @Override
    public <A> void write(
        ByteBuffer from,
        long timeout,
        TimeUnit unit,
        A attachment,
        CompletionHandler<Integer, ? super A> handler) {
      if (write != null) {
        throw new IllegalStateException("a write is out");
      }
      write =
          () -> {
            if (ends(
                handler,
                attachment,
                end.room() > 0,
                false,
                () -> {
                  byte[] bytes = new byte[net.some(Math.min(end.room(), from.remaining()))];
                  from.get(bytes);
                  end.write(out.apply(bytes));
                  return bytes.length;
                })) {
              write = null;
            }
          };
      write.run();
    }

    @Override
    public AsynchronousSocketChannel shutdownOutput() throws IOException {
      if (closed) {
        throw new ClosedChannelException();
      }
      if (end.isReset()) {
        throw new SocketException("Transport endpoint is not connected");
      }
      end.shutdownOutput();
      return this;
    }

    @Override
    public void close() {
      if (closed) {
        return;
      }
      closed = true;
      open--;
      if (end != null && !keepsOpen) {
        end.close();
      }
      if (connectFailed != null) {
        connectFailed.run();
      }
      if (read != null) {
        read.run();
      }
      if (write != null) {
        write.run();
      }
    }

    @Override
    public boolean isOpen() {
      return !closed;
    }

    @Override
    public <T> AsynchronousSocketChannel setOption(SocketOption<T> name, T value)
        throws IOException {
      if (closed || end.isReset()) {
        throw new SocketException("Invalid argument");
      }
      return this;
    }

    @Override
    public SocketAddress getRemoteAddress() {
      return remote;
    }

    @Override
    public AsynchronousSocketChannel bind(SocketAddress local) {
      throw unused();
    }

    @Override
    public AsynchronousSocketChannel shutdownInput() {
      throw unused();
    }

    @Override
    public Future<Void> connect(SocketAddress to) {
      throw unused();
    }

    @Override
    public Future<Integer> read(ByteBuffer into) {
      throw unused();
    }

    @Override
    public <A> void read(
        ByteBuffer[] into,
        int offset,
        int length,
        long timeout,
        TimeUnit unit,
        A attachment,
        CompletionHandler<Long, ? super A> handler) {
      throw unused();
    }

    @Override
    public Future<Integer> write(ByteBuffer from) {
      throw unused();
    }

    @Override
    public <A> void write(
        ByteBuffer[] from,
        int offset,
        int length,
        long timeout,
        TimeUnit unit,
        A attachment,
        CompletionHandler<Long, ? super A> handler) {
      throw unused();
    }

    @Override
    public SocketAddress getLocalAddress() {
      throw unused();
    }

    @Override
    public <T> T getOption(SocketOption<T> name) {
      throw unused();
    }

    @Override
    public Set<SocketOption<?>> supportedOptions() {
      return Set.of();
    }
  }

  private final class Listener extends AsynchronousServerSocketChannel {

    private final InetSocketAddress address;
    private final ArrayDeque<Channel> backlog = new ArrayDeque<>();
    private Runnable accept;
    private boolean closed;

    Listener(InetSocketAddress address, int most) {
      super(null);
      this.address = address;
      open++;
      net.listen(
          machine,
          address,
          far -> {
            if (closed || backlog.size() >= most) {
              return null;
            }
            // The connection stands before the program has accepted it; it takes a descriptor only
            // then.
            Channel channel = new Channel();
            open--;
            channel.end = far;
            backlog.add(channel);
            net.clock().after(0, this::look);
            return channel;
          });
    }

    private void look() {
      if (accept != null) {
        accept.run();
      }
    }

    @Override
    public <A> void accept(
        A attachment, CompletionHandler<AsynchronousSocketChannel, ? super A> handler) {
      accept =
          () -> {
            if (closed) {
              accept = null;
              net.clock()
                  .after(0, () -> handler.failed(new AsynchronousCloseException(), attachment));
            } else if (!backlog.isEmpty() && open >= mostOpen) {
              accept = null;
              net.clock()
                  .after(
                      0, () -> handler.failed(new IOException("Too many open files"), attachment));
            } else if (!backlog.isEmpty()) {
              accept = null;
              Channel channel = backlog.poll();
              open++;
              net.clock().after(0, () -> handler.completed(channel, attachment));
            }
          };
      accept.run();
    }

    @Override
    public void close() {
      if (closed) {
        return;
      }
      closed = true;
      open--;
      net.unlisten(address);
      for (Channel waiting : backlog) {
        open++; // as if accepted: its close gives back what it did not take
        waiting.end.reset();
        waiting.close();
      }
      backlog.clear();
      look();
    }

    @Override
    public boolean isOpen() {
      return !closed;
    }

    @Override
    public SocketAddress getLocalAddress() {
      return address;
    }

    @Override
    public AsynchronousServerSocketChannel bind(SocketAddress local, int most) {
      throw unused();
    }

    @Override
    public <T> AsynchronousServerSocketChannel setOption(SocketOption<T> name, T value) {
      throw unused();
    }

    @Override
    public Future<AsynchronousSocketChannel> accept() {
      throw unused();
    }

    @Override
    public <T> T getOption(SocketOption<T> name) {
      throw unused();
    }

    @Override
    public Set<SocketOption<?>> supportedOptions() {
      return Set.of();
    }
  }
}

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

  private final VirtualNetwork network;
  private final SimulatedMachine machine;
  private final int maxOpen;
  private UnaryOperator<byte[]> writeTransform = bytes -> bytes;
  private UnaryOperator<byte[]> readTransform = bytes -> bytes;
  private boolean keepsPeersOpen;
  private int openCount;

  /** Of a process on a machine that may have so many descriptors. */
  public VirtualChannels(VirtualNetwork network, SimulatedMachine machine, int mostOpen) {
    this.network = network;
    this.machine = machine;
    this.maxOpen = mostOpen;
  }

  /**
   * Has the program write, and read, something else than it does: what a broken one would. Tests
   * use it.
   */
  public void tamper(UnaryOperator<byte[]> written, UnaryOperator<byte[]> read) {
    writeTransform = written;
    readTransform = read;
  }

  /**
   * Has the program's connections stay open to the others though it has closed them. Tests use it.
   */
  public void keepPeersOpen() {
    keepsPeersOpen = true;
  }

  /** Channels that are open now. */
  public int openCount() {
    return openCount;
  }

  @Override
  public AsynchronousSocketChannel open() throws IOException {
    if (openCount >= maxOpen) {
      throw new IOException("Too many open files");
    }
    return new ClientChannel();
  }

  @Override
  public AsynchronousServerSocketChannel listen(SocketAddress address, int backlog) {
    return new ServerChannel((InetSocketAddress) address, backlog);
  }

  @Override
  public void shutdown() {}

  private static UnsupportedOperationException unsupported() {
    return new UnsupportedOperationException("not part of the virtual network");
  }

  private final class ClientChannel extends AsynchronousSocketChannel
      implements TransportConnection.Listener {

    private SimulatedSocket socket;
    private boolean closed;
    private InetSocketAddress remote;
    private Runnable connectDone;
    private Runnable connectFailed;
    private Runnable pendingRead; // looks whether the read that is out can end
    private Runnable pendingWrite;

    ClientChannel() {
      super(null);
      openCount++;
    }

    private <T, A> void complete(CompletionHandler<T, ? super A> handler, T result, A attachment) {
      network.clock().after(0, () -> handler.completed(result, attachment));
    }

    private <T, A> void fail(CompletionHandler<T, ? super A> handler, Throwable why, A attachment) {
      network.clock().after(0, () -> handler.failed(why, attachment));
    }

    @Override
    public <A> void connect(
        SocketAddress address, A attachment, CompletionHandler<Void, ? super A> handler) {
      remote = (InetSocketAddress) address;
      connectDone = () -> complete(handler, null, attachment);
      connectFailed =
          () ->
              fail(
                  handler,
                  closed
                      ? new AsynchronousCloseException()
                      : new ConnectException("Connection refused"),
                  attachment);
      socket = network.connect(machine, remote, this);
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
      if (pendingRead != null) {
        pendingRead.run();
      }
      if (pendingWrite != null && socket.isReset()) {
        pendingWrite.run();
      }
    }

    @Override
    public void writable() {
      if (pendingWrite != null) {
        pendingWrite.run();
      }
    }

    /**
     * Ends a read or a write if it can: by a failure, by moving bytes where some can be moved, or
     * at the end.
     */
    private <A> boolean tryEnd(
        CompletionHandler<Integer, ? super A> handler,
        A attachment,
        boolean movable,
        boolean atEnd,
        IntSupplier move) {
      if (closed) {
        fail(handler, new AsynchronousCloseException(), attachment);
      } else if (socket.isReset()) {
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
      if (pendingRead != null) {
        throw new IllegalStateException("a read is out");
      }
      pendingRead =
          () -> {
            if (tryEnd(
                handler,
                attachment,
                socket.readableBytes() > 0,
                socket.atEnd(),
                () -> {
                  ByteBuffer some =
                      ByteBuffer.allocate(
                          network.transferSize(Math.min(socket.readableBytes(), into.remaining())));
                  socket.read(some, some.remaining());
                  into.put(readTransform.apply(some.array()));
                  return some.position();
                })) {
              pendingRead = null;
            }
          };
      pendingRead.run();
    }

    @Override
    public <A> void write(
        ByteBuffer from,
        long timeout,
        TimeUnit unit,
        A attachment,
        CompletionHandler<Integer, ? super A> handler) {
      if (pendingWrite != null) {
        throw new IllegalStateException("a write is out");
      }
      pendingWrite =
          () -> {
            if (tryEnd(
                handler,
                attachment,
                socket.writableBytes() > 0,
                false,
                () -> {
                  byte[] bytes =
                      new byte
                          [network.transferSize(
                              Math.min(socket.writableBytes(), from.remaining()))];
                  from.get(bytes);
                  socket.write(writeTransform.apply(bytes));
                  return bytes.length;
                })) {
              pendingWrite = null;
            }
          };
      pendingWrite.run();
    }

    @Override
    public AsynchronousSocketChannel shutdownOutput() throws IOException {
      if (closed) {
        throw new ClosedChannelException();
      }
      if (socket.isReset()) {
        throw new SocketException("Transport endpoint is not connected");
      }
      socket.shutdownOutput();
      return this;
    }

    @Override
    public void close() {
      if (closed) {
        return;
      }
      closed = true;
      openCount--;
      if (socket != null && !keepsPeersOpen) {
        socket.close();
      }
      if (connectFailed != null) {
        connectFailed.run();
      }
      if (pendingRead != null) {
        pendingRead.run();
      }
      if (pendingWrite != null) {
        pendingWrite.run();
      }
    }

    @Override
    public boolean isOpen() {
      return !closed;
    }

    @Override
    public <T> AsynchronousSocketChannel setOption(SocketOption<T> name, T value)
        throws IOException {
      if (closed || socket.isReset()) {
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
      throw unsupported();
    }

    @Override
    public AsynchronousSocketChannel shutdownInput() {
      throw unsupported();
    }

    @Override
    public Future<Void> connect(SocketAddress address) {
      throw unsupported();
    }

    @Override
    public Future<Integer> read(ByteBuffer into) {
      throw unsupported();
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
      throw unsupported();
    }

    @Override
    public Future<Integer> write(ByteBuffer from) {
      throw unsupported();
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
      throw unsupported();
    }

    @Override
    public SocketAddress getLocalAddress() {
      throw unsupported();
    }

    @Override
    public <T> T getOption(SocketOption<T> name) {
      throw unsupported();
    }

    @Override
    public Set<SocketOption<?>> supportedOptions() {
      return Set.of();
    }
  }

  private final class ServerChannel extends AsynchronousServerSocketChannel {

    private final InetSocketAddress address;
    private final ArrayDeque<ClientChannel> backlog = new ArrayDeque<>();
    private Runnable pendingAccept;
    private boolean closed;

    ServerChannel(InetSocketAddress address, int most) {
      super(null);
      this.address = address;
      openCount++;
      network.listen(
          machine,
          address,
          peer -> {
            if (closed || backlog.size() >= most) {
              return null;
            }
            // The connection stands before the program has accepted it; it takes a descriptor only
            // then.
            ClientChannel channel = new ClientChannel();
            openCount--;
            channel.socket = peer;
            backlog.add(channel);
            network.clock().after(0, this::tryAccept);
            return channel;
          });
    }

    private void tryAccept() {
      if (pendingAccept != null) {
        pendingAccept.run();
      }
    }

    @Override
    public <A> void accept(
        A attachment, CompletionHandler<AsynchronousSocketChannel, ? super A> handler) {
      pendingAccept =
          () -> {
            if (closed) {
              pendingAccept = null;
              network
                  .clock()
                  .after(0, () -> handler.failed(new AsynchronousCloseException(), attachment));
            } else if (!backlog.isEmpty() && openCount >= maxOpen) {
              pendingAccept = null;
              network
                  .clock()
                  .after(
                      0, () -> handler.failed(new IOException("Too many open files"), attachment));
            } else if (!backlog.isEmpty()) {
              pendingAccept = null;
              ClientChannel channel = backlog.poll();
              openCount++;
              network.clock().after(0, () -> handler.completed(channel, attachment));
            }
          };
      pendingAccept.run();
    }

    @Override
    public void close() {
      if (closed) {
        return;
      }
      closed = true;
      openCount--;
      network.unlisten(address);
      for (ClientChannel waiting : backlog) {
        openCount++; // as if accepted: its close gives back what it did not take
        waiting.socket.reset();
        waiting.close();
      }
      backlog.clear();
      tryAccept();
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
      throw unsupported();
    }

    @Override
    public <T> AsynchronousServerSocketChannel setOption(SocketOption<T> name, T value) {
      throw unsupported();
    }

    @Override
    public Future<AsynchronousSocketChannel> accept() {
      throw unsupported();
    }

    @Override
    public <T> T getOption(SocketOption<T> name) {
      throw unsupported();
    }

    @Override
    public Set<SocketOption<?>> supportedOptions() {
      return Set.of();
    }
  }
}

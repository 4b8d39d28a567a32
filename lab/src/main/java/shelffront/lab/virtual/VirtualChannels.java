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
 * NIO.2 channels of one simulated process, implemented on {@link SimulatedSocket}s. Completion
 * handlers run as separate events, never within the call that started the operation. Operations
 * that the program under test does not use throw {@link UnsupportedOperationException}.
 */
public final class VirtualChannels implements Channels {

  private final VirtualNetwork network;
  private final SimulatedMachine machine;
  private final int maxOpen;
  private UnaryOperator<byte[]> writeTransform = bytes -> bytes;
  private UnaryOperator<byte[]> readTransform = bytes -> bytes;
  private boolean keepsPeersOpen;
  private int openCount;

  /** Creates the channels of a process that may have {@code maxOpen} channels open at a time. */
  public VirtualChannels(VirtualNetwork network, SimulatedMachine machine, int maxOpen) {
    this.network = network;
    this.machine = machine;
    this.maxOpen = maxOpen;
  }

  /** Alters the bytes that the program writes and reads, to inject faults in tests. */
  public void tamper(UnaryOperator<byte[]> written, UnaryOperator<byte[]> read) {
    writeTransform = written;
    readTransform = read;
  }

  /**
   * Leaves the sockets open when the program closes its channels, so that its peers do not notice.
   * Only for tests.
   */
  public void keepPeersOpen() {
    keepsPeersOpen = true;
  }

  /** Returns the number of open channels. */
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
    return new UnsupportedOperationException(
        "operation not supported by the channels of the virtual network");
  }

  private final class ClientChannel extends AsynchronousSocketChannel
      implements TransportConnection.Listener {

    private SimulatedSocket socket;
    private boolean closed;
    private InetSocketAddress remote;
    private Runnable connectDone;
    private Runnable connectFailed;
    private Runnable pendingRead; // completes the pending read if it can
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
     * Completes a read or a write if it can: with a failure, after transferring bytes, or with -1
     * at the end of input.
     *
     * @return whether the operation has been completed
     */
    private <A> boolean tryComplete(
        CompletionHandler<Integer, ? super A> handler,
        A attachment,
        boolean transferable,
        boolean atEnd,
        IntSupplier transfer) {
      if (closed) {
        fail(handler, new AsynchronousCloseException(), attachment);
      } else if (socket.isReset()) {
        fail(handler, new SocketException("Connection reset"), attachment);
      } else if (transferable) {
        complete(handler, transfer.getAsInt(), attachment);
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
        throw new IllegalStateException("another read is pending on the channel");
      }
      pendingRead =
          () -> {
            if (tryComplete(
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
        throw new IllegalStateException("another write is pending on the channel");
      }
      pendingWrite =
          () -> {
            if (tryComplete(
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

    ServerChannel(InetSocketAddress address, int maxBacklog) {
      super(null);
      this.address = address;
      openCount++;
      network.listen(
          machine,
          address,
          peer -> {
            if (closed || backlog.size() >= maxBacklog) {
              return null;
            }
            // The connection is established before the program accepts it, but counts as an open
            // channel only from then on.
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
      for (ClientChannel channel : backlog) {
        openCount++; // compensates for the decrement in close()
        channel.socket.reset();
        channel.close();
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
    public AsynchronousServerSocketChannel bind(SocketAddress local, int maxBacklog) {
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

package shelffront.gateway;

import java.io.IOException;
import java.net.SocketAddress;
import java.net.SocketOption;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousCloseException;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import shelffront.net.Channels;

/**
 * System sockets that count each operation once its result is in the event loop's queue. A recorded
 * exchange waits for these counts; without them it would depend on the race between the threads of
 * the system.
 */
final class ObservedChannels implements Channels {

  /** Bytes read from peers. */
  final AtomicLong bytes = new AtomicLong();

  /** Ends of peers and failed reads. */
  final AtomicLong ends = new AtomicLong();

  final AtomicLong accepts = new AtomicLong();

  /** Writes whose completion handler has not run yet. */
  final AtomicLong writesOut = new AtomicLong();

  private final Channels sockets;

  ObservedChannels() throws IOException {
    sockets = Channels.sockets(1);
  }

  @Override
  public AsynchronousSocketChannel open() throws IOException {
    return new Watched(sockets.open());
  }

  @Override
  public AsynchronousServerSocketChannel listen(SocketAddress address, int backlog)
      throws IOException {
    return new Listener(sockets.listen(address, backlog));
  }

  @Override
  public void shutdown() {
    sockets.shutdown();
  }

  private interface Seen<T> {

    void seen(T result, Throwable failure);
  }

  private static <T, A> CompletionHandler<T, A> then(
      CompletionHandler<T, ? super A> handler, Seen<T> after) {
    return new CompletionHandler<>() {
      @Override
      public void completed(T result, A attachment) {
        handler.completed(result, attachment);
        after.seen(result, null);
      }

      @Override
      public void failed(Throwable failure, A attachment) {
        handler.failed(failure, attachment);
        after.seen(null, failure);
      }
    };
  }

  private final class Listener extends AsynchronousServerSocketChannel {

    private final AsynchronousServerSocketChannel to;

    Listener(AsynchronousServerSocketChannel to) {
      super(to.provider());
      this.to = to;
    }

    @Override
    public AsynchronousServerSocketChannel bind(SocketAddress local, int backlog)
        throws IOException {
      to.bind(local, backlog);
      return this;
    }

    @Override
    public <T> AsynchronousServerSocketChannel setOption(SocketOption<T> name, T value)
        throws IOException {
      to.setOption(name, value);
      return this;
    }

    @Override
    public <T> T getOption(SocketOption<T> name) throws IOException {
      return to.getOption(name);
    }

    @Override
    public Set<SocketOption<?>> supportedOptions() {
      return to.supportedOptions();
    }

    @Override
    public <A> void accept(
        A attachment, CompletionHandler<AsynchronousSocketChannel, ? super A> handler) {
      to.accept(
          attachment,
          new CompletionHandler<AsynchronousSocketChannel, A>() {
            @Override
            public void completed(AsynchronousSocketChannel channel, A given) {
              handler.completed(new Watched(channel), given);
              accepts.incrementAndGet();
            }

            @Override
            public void failed(Throwable failure, A given) {
              handler.failed(failure, given);
            }
          });
    }

    @Override
    public Future<AsynchronousSocketChannel> accept() {
      throw new UnsupportedOperationException();
    }

    @Override
    public SocketAddress getLocalAddress() throws IOException {
      return to.getLocalAddress();
    }

    @Override
    public boolean isOpen() {
      return to.isOpen();
    }

    @Override
    public void close() throws IOException {
      to.close();
    }
  }

  private final class Watched extends AsynchronousSocketChannel {

    private final AsynchronousSocketChannel to;

    Watched(AsynchronousSocketChannel to) {
      super(to.provider());
      this.to = to;
    }

    @Override
    public AsynchronousSocketChannel bind(SocketAddress local) throws IOException {
      to.bind(local);
      return this;
    }

    @Override
    public <T> AsynchronousSocketChannel setOption(SocketOption<T> name, T value)
        throws IOException {
      to.setOption(name, value);
      return this;
    }

    @Override
    public <T> T getOption(SocketOption<T> name) throws IOException {
      return to.getOption(name);
    }

    @Override
    public Set<SocketOption<?>> supportedOptions() {
      return to.supportedOptions();
    }

    @Override
    public AsynchronousSocketChannel shutdownInput() throws IOException {
      to.shutdownInput();
      return this;
    }

    @Override
    public AsynchronousSocketChannel shutdownOutput() throws IOException {
      to.shutdownOutput();
      return this;
    }

    @Override
    public SocketAddress getRemoteAddress() throws IOException {
      return to.getRemoteAddress();
    }

    @Override
    public <A> void connect(
        SocketAddress remote, A attachment, CompletionHandler<Void, ? super A> handler) {
      to.connect(remote, attachment, handler);
    }

    @Override
    public Future<Void> connect(SocketAddress remote) {
      throw new UnsupportedOperationException();
    }

    @Override
    public <A> void read(
        ByteBuffer into,
        long timeout,
        TimeUnit unit,
        A attachment,
        CompletionHandler<Integer, ? super A> handler) {
      to.read(
          into,
          timeout,
          unit,
          attachment,
          then(
              handler,
              (count, failure) -> {
                if (count != null && count >= 0) {
                  bytes.addAndGet(count);
                } else if (!(failure instanceof AsynchronousCloseException)) {
                  ends.incrementAndGet();
                }
              }));
    }

    @Override
    public Future<Integer> read(ByteBuffer into) {
      throw new UnsupportedOperationException();
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
      throw new UnsupportedOperationException();
    }

    @Override
    public <A> void write(
        ByteBuffer from,
        long timeout,
        TimeUnit unit,
        A attachment,
        CompletionHandler<Integer, ? super A> handler) {
      writesOut.incrementAndGet();
      to.write(
          from,
          timeout,
          unit,
          attachment,
          then(handler, (count, failure) -> writesOut.decrementAndGet()));
    }

    @Override
    public Future<Integer> write(ByteBuffer from) {
      throw new UnsupportedOperationException();
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
      throw new UnsupportedOperationException();
    }

    @Override
    public SocketAddress getLocalAddress() throws IOException {
      return to.getLocalAddress();
    }

    @Override
    public boolean isOpen() {
      return to.isOpen();
    }

    @Override
    public void close() throws IOException {
      to.close();
    }
  }
}

package shelffront.gateway;

import java.io.IOException;
import java.net.SocketAddress;
import java.net.SocketOption;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousCloseException;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.ArrayDeque;
import java.util.Queue;
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
  final AtomicLong bytesRead = new AtomicLong();

  /** Ends of peers and failed reads. */
  final AtomicLong endCount = new AtomicLong();

  final AtomicLong acceptedCount = new AtomicLong();

  /** Writes whose completion handler has not run yet. */
  final AtomicLong pendingWrites = new AtomicLong();

  /** Results of writes to report later; null while they are reported at once. */
  private Queue<Runnable> deferredWriteResults;

  private final Channels systemChannels;

  ObservedChannels() throws IOException {
    systemChannels = Channels.sockets(1);
  }

  /** From now on, the results of writes are reported only by {@link #reportWrites}. */
  synchronized void deferWriteResults() {
    deferredWriteResults = new ArrayDeque<>();
  }

  /** Reports the results of writes that were deferred, and further ones at once. */
  synchronized void reportWrites() {
    deferredWriteResults.forEach(Runnable::run);
    deferredWriteResults = null;
  }

  private synchronized void reportWrite(Runnable result) {
    if (deferredWriteResults == null) {
      result.run();
    } else {
      deferredWriteResults.add(result);
    }
  }

  /** Passes the result of a write on, at once or when writes are reported. */
  private <A> CompletionHandler<Integer, A> deferrable(
      CompletionHandler<Integer, ? super A> handler) {
    return new CompletionHandler<>() {
      @Override
      public void completed(Integer count, A attachment) {
        reportWrite(() -> handler.completed(count, attachment));
      }

      @Override
      public void failed(Throwable failure, A attachment) {
        reportWrite(() -> handler.failed(failure, attachment));
      }
    };
  }

  @Override
  public AsynchronousSocketChannel open() throws IOException {
    return new ObservedChannel(systemChannels.open());
  }

  @Override
  public AsynchronousServerSocketChannel listen(SocketAddress address, int backlog)
      throws IOException {
    return new ObservedListener(systemChannels.listen(address, backlog));
  }

  @Override
  public void shutdown() {
    systemChannels.shutdown();
  }

  private interface CompletionObserver<T> {

    void onCompleted(T result, Throwable failure);
  }

  private static <T, A> CompletionHandler<T, A> observing(
      CompletionHandler<T, ? super A> handler, CompletionObserver<T> observer) {
    return new CompletionHandler<>() {
      @Override
      public void completed(T result, A attachment) {
        handler.completed(result, attachment);
        observer.onCompleted(result, null);
      }

      @Override
      public void failed(Throwable failure, A attachment) {
        handler.failed(failure, attachment);
        observer.onCompleted(null, failure);
      }
    };
  }

  private final class ObservedListener extends AsynchronousServerSocketChannel {

    private final AsynchronousServerSocketChannel delegate;

    ObservedListener(AsynchronousServerSocketChannel delegate) {
      super(delegate.provider());
      this.delegate = delegate;
    }

    @Override
    public AsynchronousServerSocketChannel bind(SocketAddress local, int backlog)
        throws IOException {
      delegate.bind(local, backlog);
      return this;
    }

    @Override
    public <T> AsynchronousServerSocketChannel setOption(SocketOption<T> name, T value)
        throws IOException {
      delegate.setOption(name, value);
      return this;
    }

    @Override
    public <T> T getOption(SocketOption<T> name) throws IOException {
      return delegate.getOption(name);
    }

    @Override
    public Set<SocketOption<?>> supportedOptions() {
      return delegate.supportedOptions();
    }

    @Override
    public <A> void accept(
        A attachment, CompletionHandler<AsynchronousSocketChannel, ? super A> handler) {
      delegate.accept(
          attachment,
          new CompletionHandler<AsynchronousSocketChannel, A>() {
            @Override
            public void completed(AsynchronousSocketChannel channel, A given) {
              handler.completed(new ObservedChannel(channel), given);
              acceptedCount.incrementAndGet();
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
      return delegate.getLocalAddress();
    }

    @Override
    public boolean isOpen() {
      return delegate.isOpen();
    }

    @Override
    public void close() throws IOException {
      delegate.close();
    }
  }

  private final class ObservedChannel extends AsynchronousSocketChannel {

    private final AsynchronousSocketChannel delegate;

    ObservedChannel(AsynchronousSocketChannel delegate) {
      super(delegate.provider());
      this.delegate = delegate;
    }

    @Override
    public AsynchronousSocketChannel bind(SocketAddress local) throws IOException {
      delegate.bind(local);
      return this;
    }

    @Override
    public <T> AsynchronousSocketChannel setOption(SocketOption<T> name, T value)
        throws IOException {
      delegate.setOption(name, value);
      return this;
    }

    @Override
    public <T> T getOption(SocketOption<T> name) throws IOException {
      return delegate.getOption(name);
    }

    @Override
    public Set<SocketOption<?>> supportedOptions() {
      return delegate.supportedOptions();
    }

    @Override
    public AsynchronousSocketChannel shutdownInput() throws IOException {
      delegate.shutdownInput();
      return this;
    }

    @Override
    public AsynchronousSocketChannel shutdownOutput() throws IOException {
      delegate.shutdownOutput();
      return this;
    }

    @Override
    public SocketAddress getRemoteAddress() throws IOException {
      return delegate.getRemoteAddress();
    }

    @Override
    public <A> void connect(
        SocketAddress remote, A attachment, CompletionHandler<Void, ? super A> handler) {
      delegate.connect(remote, attachment, handler);
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
      delegate.read(
          into,
          timeout,
          unit,
          attachment,
          observing(
              handler,
              (count, failure) -> {
                if (count != null && count >= 0) {
                  bytesRead.addAndGet(count);
                } else if (!(failure instanceof AsynchronousCloseException)) {
                  endCount.incrementAndGet();
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
      pendingWrites.incrementAndGet();
      delegate.write(
          from,
          timeout,
          unit,
          attachment,
          deferrable(observing(handler, (count, failure) -> pendingWrites.decrementAndGet())));
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
      return delegate.getLocalAddress();
    }

    @Override
    public boolean isOpen() {
      return delegate.isOpen();
    }

    @Override
    public void close() throws IOException {
      delegate.close();
    }
  }
}

package shelffront.lab.load;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A proxy that copies bytes between each client connection and one host, without parsing them. It
 * uses the same NIO.2 channels, and as many threads, as the completion group of the gateway, and
 * serves as the baseline that the gateway's cost is compared with.
 */
public final class TransparentProxy implements AutoCloseable {

  private static final int BUFFER_BYTES = 4096;

  private final AsynchronousChannelGroup group;
  private final AsynchronousServerSocketChannel listener;
  private final InetSocketAddress hostAddress;
  private final Set<AsynchronousSocketChannel> openChannels = ConcurrentHashMap.newKeySet();

  /** Listens on a free loopback port and forwards to an address. */
  public TransparentProxy(InetSocketAddress address) throws IOException {
    hostAddress = address;
    group =
        AsynchronousChannelGroup.withFixedThreadPool(
            1,
            task -> {
              Thread thread = new Thread(task, "completions");
              thread.setDaemon(true);
              return thread;
            });
    listener =
        AsynchronousServerSocketChannel.open(group)
            .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1024);
    accept();
  }

  public InetSocketAddress address() throws IOException {
    return (InetSocketAddress) listener.getLocalAddress();
  }

  /** Handles the result of an operation, which is null if the operation failed. */
  private interface ResultHandler<T> {

    void take(T result, boolean failed) throws IOException;
  }

  private static <T> CompletionHandler<T, Void> handler(ResultHandler<T> handler) {
    return new CompletionHandler<>() {
      @Override
      public void completed(T result, Void none) {
        take(result, false);
      }

      @Override
      public void failed(Throwable failure, Void none) {
        take(null, true);
      }

      private void take(T result, boolean failed) {
        try {
          handler.take(result, failed);
        } catch (IOException e) {
          throw new IllegalStateException(e);
        }
      }
    };
  }

  private void accept() {
    listener.accept(
        null,
        handler(
            (AsynchronousSocketChannel client, boolean over) -> {
              if (over) {
                return;
              }
              accept();
              AsynchronousSocketChannel host = AsynchronousSocketChannel.open(group);
              client.setOption(StandardSocketOptions.TCP_NODELAY, true);
              openChannels.add(client);
              openChannels.add(host);
              host.connect(
                  hostAddress,
                  null,
                  handler(
                      (Void none, boolean failed) -> {
                        if (failed) {
                          end(client, host);
                          return;
                        }
                        host.setOption(StandardSocketOptions.TCP_NODELAY, true);
                        copy(client, host, ByteBuffer.allocate(BUFFER_BYTES));
                        copy(host, client, ByteBuffer.allocate(BUFFER_BYTES));
                      }));
            }));
  }

  private void copy(
      AsynchronousSocketChannel from, AsynchronousSocketChannel into, ByteBuffer buffer) {
    buffer.clear();
    from.read(
        buffer,
        null,
        handler(
            (Integer count, boolean failed) -> {
              if (failed || count < 0) {
                end(from, into);
                return;
              }
              buffer.flip();
              write(from, into, buffer);
            }));
  }

  private void write(
      AsynchronousSocketChannel from, AsynchronousSocketChannel into, ByteBuffer buffer) {
    into.write(
        buffer,
        null,
        handler(
            (Integer count, boolean failed) -> {
              if (failed) {
                end(from, into);
              } else if (buffer.hasRemaining()) {
                write(from, into, buffer);
              } else {
                copy(from, into, buffer);
              }
            }));
  }

  private void end(AsynchronousSocketChannel one, AsynchronousSocketChannel other)
      throws IOException {
    openChannels.remove(one);
    openChannels.remove(other);
    one.close();
    other.close();
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (AsynchronousSocketChannel each : openChannels) {
      each.close();
    }
    group.shutdown();
  }
}

package shelffront.net;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;

/** Where channels come from: the machine's sockets, or a network that exists in memory only. */
public interface Channels {

  /** A channel that is not connected. */
  AsynchronousSocketChannel open() throws IOException;

  /** One that listens, with so many connections waiting to be accepted. */
  AsynchronousServerSocketChannel listen(SocketAddress address, int backlog) throws IOException;

  /** Ends the threads behind the channels, once all are closed. */
  void shutdown();

  /**
   * The machine's sockets; so many threads run all completion handlers, which do nothing but post
   * to a loop.
   */
  static Channels sockets(int threads) throws IOException {
    AsynchronousChannelGroup group =
        AsynchronousChannelGroup.withFixedThreadPool(
            threads,
            task -> {
              Thread thread = new Thread(task, "completions");
              thread.setDaemon(true);
              return thread;
            });
    return new Channels() {
      @Override
      public AsynchronousSocketChannel open() throws IOException {
        return AsynchronousSocketChannel.open(group);
      }

      @Override
      public AsynchronousServerSocketChannel listen(SocketAddress address, int backlog)
          throws IOException {
        return AsynchronousServerSocketChannel.open(group).bind(address, backlog);
      }

      @Override
      public void shutdown() {
        group.shutdown();
      }
    };
  }
}

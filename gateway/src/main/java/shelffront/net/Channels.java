package shelffront.net;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;

/** Opens channels: sockets of the operating system, or those of an in-memory network. */
public interface Channels {

  /** Opens a channel that is not connected. */
  AsynchronousSocketChannel open() throws IOException;

  /** Opens a listening channel, with at most this many connections waiting to be accepted. */
  AsynchronousServerSocketChannel listen(SocketAddress address, int backlog) throws IOException;

  /** Ends the threads that serve the channels, once all channels are closed. */
  void shutdown();

  /**
   * Opens sockets of the operating system. A pool of this many daemon threads runs all completion
   * handlers, which only post results to an event loop.
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

package shelffront.lab.transport;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** A connection on a non-blocking socket. Confined to the thread of its transport. */
final class SocketConnection implements TransportConnection, ReadyHandler {

  SocketChannel channel;
  SelectionKey key;
  Listener listener;
  private final ByteBuffer readBuffer;
  private final Consumer<Runnable> taskQueue;
  private final List<byte[]> received = new ArrayList<>();
  private final ArrayDeque<ByteBuffer> unsent = new ArrayDeque<>();
  private int receivedBytes;
  private int firstPieceOffset; // bytes of the first piece that have been read
  private int unsentBytes;
  private boolean connected;
  private boolean ended;
  private boolean broken;
  private boolean closing;
  private boolean closed;

  /**
   * @param readBuffer shared by all connections of the thread; holds no data between calls
   * @param taskQueue takes tasks that the thread runs after the current call
   */
  SocketConnection(Listener listener, ByteBuffer readBuffer, Consumer<Runnable> taskQueue) {
    this.listener = listener;
    this.readBuffer = readBuffer;
    this.taskQueue = taskQueue;
  }

  void connected() {
    connected = true;
    updateInterest();
    listener.connected();
  }

  void failedToConnect() {
    if (!closed) {
      closeChannel();
      listener.refused();
    }
  }

  private void updateInterest() {
    if (!closed && key.isValid()) {
      key.interestOps(
          (ended || broken || receivedBytes >= WINDOW ? 0 : SelectionKey.OP_READ)
              | (unsent.isEmpty() ? 0 : SelectionKey.OP_WRITE));
    }
  }

  @Override
  public void ready(SelectionKey ready) {
    if (closed) {
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
      if (!closed && !closing) {
        listener.writable();
      }
    }
    if (!closed && (ops & SelectionKey.OP_READ) != 0) {
      receive();
    }
  }

  private void receive() {
    try {
      readBuffer.clear();
      int count = channel.read(readBuffer);
      if (count < 0) {
        ended = true;
      } else if (count > 0) {
        byte[] piece = new byte[count];
        readBuffer.flip().get(piece);
        received.add(piece);
        receivedBytes += count;
      }
    } catch (IOException e) {
      broken = true;
    }
    updateInterest();
    if (closing) {
      received.clear(); // input is discarded while output is flushed
      receivedBytes = 0;
      if (broken) {
        closeChannel();
      }
    } else {
      listener.readable();
    }
  }

  @Override
  public boolean isConnected() {
    return connected;
  }

  @Override
  public int writableBytes() {
    return connected && !closed ? Math.max(0, WINDOW - unsentBytes) : 0;
  }

  @Override
  public void write(byte[] bytes) {
    if (closed || closing) {
      return;
    }
    unsentBytes += bytes.length;
    unsent.add(ByteBuffer.wrap(bytes));
    flush();
  }

  private void flush() {
    try {
      while (!unsent.isEmpty()) {
        unsentBytes -= channel.write(unsent.peek());
        if (unsent.peek().hasRemaining()) {
          break;
        }
        unsent.poll();
      }
    } catch (IOException e) {
      unsent.clear();
      unsentBytes = 0;
      broken = true;
      if (!closing) {
        taskQueue.accept(
            () -> {
              if (!closed) {
                listener.readable();
              }
            });
      }
    }
    if (closing && unsent.isEmpty()) {
      closeChannel();
    } else {
      updateInterest();
    }
  }

  @Override
  public int readableBytes() {
    return receivedBytes;
  }

  @Override
  public int read(ByteBuffer target, int maxBytes) {
    int count = 0;
    while (!received.isEmpty() && target.hasRemaining() && count < maxBytes) {
      byte[] first = received.get(0);
      int take =
          Math.min(Math.min(first.length - firstPieceOffset, target.remaining()), maxBytes - count);
      target.put(first, firstPieceOffset, take);
      count += take;
      firstPieceOffset += take;
      if (firstPieceOffset == first.length) {
        received.remove(0);
        firstPieceOffset = 0;
      }
    }
    receivedBytes -= count;
    updateInterest();
    return count;
  }

  @Override
  public boolean atEnd() {
    return ended && receivedBytes == 0;
  }

  @Override
  public boolean isReset() {
    return broken;
  }

  @Override
  public void close() {
    closing = true;
    if (unsent.isEmpty() || broken) {
      closeChannel();
    }
  }

  @Override
  public void reset() {
    if (!closed && channel != null) {
      try {
        channel.setOption(StandardSocketOptions.SO_LINGER, 0);
      } catch (IOException e) {
        // The socket is closed already.
      }
    }
    closeChannel();
  }

  private void closeChannel() {
    if (!closed) {
      closed = true;
      if (channel != null) {
        SocketTransport.closeQuietly(channel);
      }
    }
  }
}

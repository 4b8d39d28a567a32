package shelffront.lab.transport;

import java.nio.ByteBuffer;

/**
 * Base class of the lab's clients and servers on one connection: reads received bytes at once and
 * buffers writes until the window of the connection admits them. Confined to the transport's
 * thread.
 */
public abstract class ConnectionHandler implements TransportConnection.Listener {

  private static final int MAX_READ_BYTES = 1 << 20;

  protected TransportConnection connection;
  private byte[] pending = new byte[0];
  private byte[] unread = new byte[0];
  private boolean closing;
  private boolean closed;
  private boolean stalled;

  /** Attaches an accepted connection. */
  protected final ConnectionHandler accept(TransportConnection accepted) {
    connection = accepted;
    return this;
  }

  /**
   * Handles received bytes. Bytes left in the buffer are passed again, before those that follow,
   * when more have been received.
   */
  protected abstract void received(ByteBuffer bytes);

  /**
   * Called once when the peer has closed the connection or, with {@code reset}, has reset or
   * refused it; not called once this side has reset it or finished closing it.
   */
  protected abstract void ended(boolean reset);

  /** Suspends reading while enabled; resumes it otherwise. */
  public final void setStalled(boolean enabled) {
    stalled = enabled;
    if (!enabled) {
      readable();
    }
  }

  public final boolean isStalled() {
    return stalled;
  }

  public final boolean isClosed() {
    return closed;
  }

  /** Queues bytes and writes as many as the window admits; no effect once closing. */
  protected final void send(byte[] bytes) {
    if (closed || closing) {
      return;
    }
    byte[] all = new byte[pending.length + bytes.length];
    System.arraycopy(pending, 0, all, 0, pending.length);
    System.arraycopy(bytes, 0, all, pending.length, bytes.length);
    pending = all;
    writable();
  }

  /** Closes the connection once all queued bytes are written. */
  public final void close() {
    closing = true;
    writable();
  }

  /** Resets the connection at once and discards queued bytes. */
  public final void reset() {
    if (!closed) {
      closed = true;
      connection.reset();
    }
  }

  @Override
  public final void writable() {
    if (closed || !connection.isConnected()) {
      return;
    }
    int count = Math.min(connection.writableBytes(), pending.length);
    if (count > 0) {
      byte[] some = new byte[count];
      System.arraycopy(pending, 0, some, 0, count);
      byte[] rest = new byte[pending.length - count];
      System.arraycopy(pending, count, rest, 0, rest.length);
      pending = rest;
      connection.write(some);
    }
    if (closing && pending.length == 0) {
      closed = true;
      connection.close();
    }
  }

  @Override
  public void connected() {
    writable();
  }

  @Override
  public final void refused() {
    finish(true);
  }

  @Override
  public final void readable() {
    if (closed || stalled) {
      return;
    }
    if (connection.isReset()) {
      finish(true);
      return;
    }
    if (connection.readableBytes() > 0) {
      ByteBuffer all =
          ByteBuffer.allocate(Math.min(MAX_READ_BYTES, unread.length + connection.readableBytes()));
      all.put(unread);
      connection.read(all, Integer.MAX_VALUE);
      all.flip();
      received(all);
      unread = new byte[all.remaining()];
      all.get(unread);
    }
    if (!closed && connection.atEnd()) {
      finish(false);
    }
  }

  private void finish(boolean reset) {
    if (!closed) {
      closed = true;
      connection.close();
      ended(reset);
    }
  }
}

package shelffront.lab.transport;

import java.nio.ByteBuffer;

/**
 * One of the lab's own parties on a connection: takes what comes, at once, and writes as the window
 * lets it.
 */
public abstract class ConnectionHandler implements TransportConnection.Listener {

  private static final int MAX_READ_BYTES = 1 << 20;

  protected TransportConnection connection;
  private byte[] pending = new byte[0];
  private byte[] unread = new byte[0];
  private boolean closing;
  private boolean closed;
  private boolean stalled;

  /** Of a connection that was accepted. */
  protected final ConnectionHandler accept(TransportConnection accepted) {
    connection = accepted;
    return this;
  }

  /** All bytes that have come and were not consumed. */
  protected abstract void received(ByteBuffer bytes);

  /** The other side has ended, or nobody was there; called once. */
  protected abstract void ended(boolean reset);

  /** Reads nothing more for now, or again. */
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

  /** Closes once all is written. */
  public final void close() {
    closing = true;
    writable();
  }

  /** Ends it at once, with a reset for the peer. */
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

package shelffront.lab.transport;

import java.nio.ByteBuffer;

/**
 * One of the lab's own parties on a connection: takes what comes, at once, and writes as the window
 * lets it.
 */
public abstract class ConnectionHandler implements TransportConnection.Owner {

  private static final int MOST = 1 << 20;

  protected TransportConnection end;
  private byte[] pending = new byte[0];
  private byte[] unread = new byte[0];
  private boolean closing;
  private boolean over;
  private boolean stalled;

  /** Of a connection that was accepted. */
  protected final ConnectionHandler on(TransportConnection accepted) {
    end = accepted;
    return this;
  }

  /** All bytes that have come and were not consumed. */
  protected abstract void received(ByteBuffer bytes);

  /** The other side has ended, or nobody was there; called once. */
  protected abstract void ended(boolean reset);

  /** Reads nothing more for now, or again. */
  public final void stall(boolean on) {
    stalled = on;
    if (!on) {
      readable();
    }
  }

  public final boolean isStalled() {
    return stalled;
  }

  public final boolean isOver() {
    return over;
  }

  protected final void send(byte[] bytes) {
    if (over || closing) {
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

  public final void reset() {
    if (!over) {
      over = true;
      end.reset();
    }
  }

  @Override
  public final void writable() {
    if (over || !end.isConnected()) {
      return;
    }
    int count = Math.min(end.room(), pending.length);
    if (count > 0) {
      byte[] some = new byte[count];
      System.arraycopy(pending, 0, some, 0, count);
      byte[] rest = new byte[pending.length - count];
      System.arraycopy(pending, count, rest, 0, rest.length);
      pending = rest;
      end.write(some);
    }
    if (closing && pending.length == 0) {
      over = true;
      end.close();
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
    if (over || stalled) {
      return;
    }
    if (end.isReset()) {
      finish(true);
      return;
    }
    if (end.available() > 0) {
      ByteBuffer all = ByteBuffer.allocate(Math.min(MOST, unread.length + end.available()));
      all.put(unread);
      end.read(all, Integer.MAX_VALUE);
      all.flip();
      received(all);
      unread = new byte[all.remaining()];
      all.get(unread);
    }
    if (!over && end.atEnd()) {
      finish(false);
    }
  }

  private void finish(boolean reset) {
    if (!over) {
      over = true;
      end.close();
      ended(reset);
    }
  }
}

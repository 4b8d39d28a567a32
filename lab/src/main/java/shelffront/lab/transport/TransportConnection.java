package shelffront.lab.transport;

import java.nio.ByteBuffer;

/**
 * One end of a connection, on sockets or on the virtual network: a byte stream in each direction,
 * with bounded buffers. Confined to the transport's thread.
 */
public interface TransportConnection {

  /** Notified of changes; each call is only a hint to inspect the connection. */
  interface Listener {

    void connected();

    /** The connection could not be established. */
    void refused();

    /** Bytes, the end of input or a reset have been received. */
    void readable();

    /** Bytes may be written again. */
    void writable();
  }

  /** Upper bound of the bytes in flight or unread in one direction. */
  int WINDOW = 64 * 1024;

  boolean isConnected();

  /** Returns how many bytes may be written now; 0 unless connected. */
  int writableBytes();

  /** Sends bytes, at most {@link #writableBytes}; ignored once closed. */
  void write(byte[] bytes);

  int readableBytes();

  /**
   * Moves received bytes into a buffer, at most {@code maxBytes} and as many as fit, and returns
   * their number.
   */
  int read(ByteBuffer target, int maxBytes);

  /** Whether the peer has ended its output and all bytes have been read. */
  boolean atEnd();

  /** Whether the peer's process has ended or the peer has reset the connection. */
  boolean isReset();

  /** Closes the connection after the bytes that were written are sent. */
  void close();

  /** Resets the connection at once. */
  void reset();
}

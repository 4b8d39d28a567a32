package shelffront.lab.transport;

import java.nio.ByteBuffer;

/**
 * One party's end of a connection, on sockets or on the virtual network: a stream of bytes each
 * way, bounded.
 */
public interface TransportConnection {

  /** What its owner is told; each call only says that there is something to look at. */
  interface Listener {

    void connected();

    /** It could not be set up. */
    void refused();

    /** Bytes, the other's end or a reset are there. */
    void readable();

    /** There is room for bytes again. */
    void writable();
  }

  /** Bytes under way or not yet read, one way. */
  int WINDOW = 64 * 1024;

  boolean isConnected();

  /** How many bytes may be written now. */
  int writableBytes();

  /** Sends bytes, for which there must be room. */
  void write(byte[] bytes);

  int readableBytes();

  /** Takes as many bytes as fit and are there; how many. */
  int read(ByteBuffer into, int most);

  /** All bytes were read and no more will come. */
  boolean atEnd();

  /** The other process has ended, or has answered bytes it did not want by a reset. */
  boolean isReset();

  /** Closes once what was written is sent. */
  void close();

  /** Ends it at once. */
  void reset();
}

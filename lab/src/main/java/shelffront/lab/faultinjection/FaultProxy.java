package shelffront.lab.faultinjection;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * TCP proxy that injects network faults between two processes. A cut in one or both directions
 * stops forwarding without closing connections; data written meanwhile arrives after the cut ends,
 * as on a network that lost a link.
 */
public final class FaultProxy implements AutoCloseable {

  private static final int BUFFER_BYTES = 16 * 1024;

  private final ServerSocket listener;
  private final InetSocketAddress target;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private boolean cutForward;
  private boolean cutBackward;
  private long delayMs;
  private int pieceBytes; // 0: no limit

  public FaultProxy(InetSocketAddress address) throws IOException {
    this.target = address;
    listener = new ServerSocket(0, 128, InetAddress.getLoopbackAddress());
    startThread(this::accept);
  }

  public String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /** Stops forwarding from client to target, from target to client, or in both directions. */
  public synchronized void cut(boolean forward, boolean backward) {
    cutForward = forward;
    cutBackward = backward;
    notifyAll();
  }

  /** Splits data into pieces of this size and delays each; 0 means no delay or no splitting. */
  public synchronized void slow(long millis, int bytes) {
    delayMs = millis;
    pieceBytes = bytes;
    notifyAll();
  }

  /** Ends cuts, delays and splitting. */
  public synchronized void heal() {
    cut(false, false);
    slow(0, 0);
  }

  /** Closes every connection with a TCP reset. */
  public void reset() {
    for (Socket socket : open) {
      closeSocket(socket, true);
    }
  }

  private static void startThread(Runnable task) {
    Thread thread = new Thread(task, "relay");
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket client = listener.accept();
        open.add(client);
        startThread(() -> connect(client));
      } catch (IOException e) {
        return; // the listener was closed
      }
    }
  }

  private void connect(Socket client) {
    Socket server = new Socket();
    open.add(server);
    try {
      server.connect(target);
      client.setTcpNoDelay(true);
      server.setTcpNoDelay(true);
      startThread(() -> forwardData(client, server, true));
      forwardData(server, client, false);
    } catch (IOException e) {
      closeSocket(client, true);
      closeSocket(server, true);
    }
  }

  private void forwardData(Socket from, Socket into, boolean forward) {
    byte[] buffer = new byte[BUFFER_BYTES];
    try {
      int count = from.getInputStream().read(buffer);
      while (count >= 0) {
        for (int offset = 0; offset < count; ) {
          int pieceSize = awaitPieceSize(forward);
          int length = Math.min(pieceSize, count - offset);
          into.getOutputStream().write(buffer, offset, length);
          offset += length;
        }
        count = from.getInputStream().read(buffer);
      }
      awaitPieceSize(forward);
    } catch (IOException e) {
      reset(from, into);
      return;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    closeSocket(into, false);
    closeSocket(from, false);
  }

  private void reset(Socket from, Socket into) {
    closeSocket(from, true);
    closeSocket(into, true);
  }

  /** Waits until the direction is not cut and the delay has passed; returns the piece size. */
  private synchronized int awaitPieceSize(boolean forward) throws InterruptedException {
    while (forward ? cutForward : cutBackward) {
      wait();
    }
    long deadlineNanos = System.nanoTime() + delayMs * 1_000_000;
    for (long leftMillis = delayMs;
        leftMillis > 0;
        leftMillis = (deadlineNanos - System.nanoTime()) / 1_000_000) {
      wait(leftMillis);
    }
    return pieceBytes > 0 ? pieceBytes : BUFFER_BYTES;
  }

  private void closeSocket(Socket socket, boolean withReset) {
    open.remove(socket);
    try {
      if (withReset) {
        socket.setSoLinger(true, 0);
      }
      socket.close();
    } catch (IOException e) {
      // The socket was already closed.
      return;
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
    heal();
    reset();
  }
}

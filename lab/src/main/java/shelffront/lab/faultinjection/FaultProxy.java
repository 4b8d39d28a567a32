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

  private static final int BUFFER = 16 * 1024;

  private final ServerSocket listener;
  private final InetSocketAddress target;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private boolean cutForward;
  private boolean cutBack;
  private long delayMs;
  private int pieceBytes; // 0: no limit

  public FaultProxy(InetSocketAddress address) throws IOException {
    this.target = address;
    listener = new ServerSocket(0, 128, InetAddress.getLoopbackAddress());
    thread(this::accept);
  }

  public String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /** Stops forwarding from client to target, from target to client, or in both directions. */
  public synchronized void cut(boolean there, boolean back) {
    cutForward = there;
    cutBack = back;
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
      end(socket, true);
    }
  }

  private static void thread(Runnable task) {
    Thread thread = new Thread(task, "relay");
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket here = listener.accept();
        open.add(here);
        thread(() -> connect(here));
      } catch (IOException e) {
        return; // the listener was closed
      }
    }
  }

  private void connect(Socket here) {
    Socket there = new Socket();
    open.add(there);
    try {
      there.connect(target);
      here.setTcpNoDelay(true);
      there.setTcpNoDelay(true);
      thread(() -> carry(here, there, true));
      carry(there, here, false);
    } catch (IOException e) {
      end(here, true);
      end(there, true);
    }
  }

  private void carry(Socket from, Socket into, boolean there) {
    byte[] buffer = new byte[BUFFER];
    try {
      int count = from.getInputStream().read(buffer);
      while (count >= 0) {
        for (int offset = 0; offset < count; ) {
          int piece = pass(there);
          int length = Math.min(piece, count - offset);
          into.getOutputStream().write(buffer, offset, length);
          offset += length;
        }
        count = from.getInputStream().read(buffer);
      }
      pass(there);
    } catch (IOException e) {
      reset(from, into);
      return;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    end(into, false);
    end(from, false);
  }

  private void reset(Socket from, Socket into) {
    end(from, true);
    end(into, true);
  }

  /** Waits until the direction is not cut and the delay has passed; returns the piece size. */
  private synchronized int pass(boolean there) throws InterruptedException {
    while (there ? cutForward : cutBack) {
      wait();
    }
    long until = System.nanoTime() + delayMs * 1_000_000;
    for (long left = delayMs; left > 0; left = (until - System.nanoTime()) / 1_000_000) {
      wait(left);
    }
    return pieceBytes > 0 ? pieceBytes : BUFFER;
  }

  private void end(Socket socket, boolean abruptly) {
    open.remove(socket);
    try {
      if (abruptly) {
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

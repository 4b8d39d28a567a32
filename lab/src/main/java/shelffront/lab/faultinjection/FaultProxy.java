package shelffront.lab.faultinjection;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A way between two processes that can be broken. Cut, in one direction or both, it carries nothing
 * and says nothing: connections stay open and silent, and what was written comes once it is whole
 * again, as on a network that lost a link.
 */
public final class FaultProxy implements AutoCloseable {

  private static final int BUFFER = 16 * 1024;

  private final ServerSocket listener;
  private final InetSocketAddress target;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private boolean cutForward;
  private boolean cutBack;
  private long delayMs;
  private int pieceBytes; // bytes at a time; 0: all there are

  public FaultProxy(InetSocketAddress address) throws IOException {
    this.target = address;
    listener = new ServerSocket(0, 128, InetAddress.getLoopbackAddress());
    thread(this::accept);
  }

  public String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /** Carries nothing there, or back, or either. */
  public synchronized void cut(boolean there, boolean back) {
    cutForward = there;
    cutBack = back;
    notifyAll();
  }

  /** Each piece comes so much later, in pieces of so many bytes; 0 for at once and for whole. */
  public synchronized void slow(long millis, int bytes) {
    delayMs = millis;
    pieceBytes = bytes;
    notifyAll();
  }

  /** Carries everything at once. */
  public synchronized void heal() {
    cut(false, false);
    slow(0, 0);
  }

  /** Ends every connection with a reset. */
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
        return; // it was closed
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

  /** Waits until something may pass; gives how many bytes at a time. */
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
      // It is closed, or was.
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

package shelffront.rolloutcontrol;

/**
 * Wakes a thread that waits for work. A signal that is given while the thread does not wait is
 * kept, and ends its next wait at once, so that a change between the thread's last look and its
 * wait is not missed. Any thread may give a signal; one thread waits.
 */
final class WakeUpSignal {

  private boolean given;

  synchronized void give() {
    given = true;
    notifyAll();
  }

  /** Waits until a signal is given or the time has passed, and consumes the signal. */
  synchronized void await(long timeoutMillis) throws InterruptedException {
    if (!given) {
      wait(timeoutMillis);
    }
    given = false;
  }
}

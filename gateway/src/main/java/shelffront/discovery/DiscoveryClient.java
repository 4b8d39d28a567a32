package shelffront.discovery;

import java.io.IOException;
import java.net.InetSocketAddress;
import shelffront.config.EndpointList;
import shelffront.net.CloseReason;
import shelffront.net.Counters;
import shelffront.net.Network;

/**
 * Obtains the endpoint list from the discovery service, through one watch and fetches of the whole
 * list.
 *
 * <p>Invariants: at most one watch is open; a list older than the newest one is ignored within
 * {@link #STALE_LIST_WINDOW_MICROS} after it. Retries are left to the listener. Runs on the loop
 * thread.
 */
public final class DiscoveryClient {

  /** Receives endpoint lists and failures. */
  public interface Listener {

    /** Called for each endpoint list that is not ignored as stale. */
    void onEndpoints(EndpointList list);

    /** Called when a watch or a fetch has failed; the current list remains valid. */
    void onDiscoveryFailed();
  }

  /**
   * Microseconds that a call may go without a complete line of its list. By the platform's
   * protocol, a watch without changes writes an empty line every 2 s, and a queued call receives
   * its response within 2 s. A busy loop or network may delay either by another 0.5 s.
   *
   * <p>The gateway must have a change 6 s after the discovery service had it and was reachable,
   * regardless of earlier failures. A call open at that time is closed at most 2.5 s later, even if
   * it trickles bytes. The next call starts after at most 0.9 s if lists are polled, by the
   * decision module, or after 0.1 s if they are pushed, by {@code TenantEndpoints}. Its response
   * arrives within 2.5 s. The total is 5.9 s and uses none of the configured drain grace period.
   * Only a call whose headers arrive in between may take another 2.5 s until its first line, which
   * the grace period covers.
   */
  static final long SILENCE_TIMEOUT_MICROS = 2_500_000;

  /**
   * Within this time after the newest list, an older revision is a delayed list; later, it starts a
   * new sequence of revisions.
   */
  private static final long STALE_LIST_WINDOW_MICROS = 30_000_000;

  private final Network network;
  private final Listener listener;
  private InetSocketAddress address;
  private long revision;
  private long newestListMicros;

  /** Whether a watch is wanted; the watch itself may have failed. */
  private boolean watchWanted;

  private DiscoveryCall watch;

  /** Creates a client that knows the list of this revision; 0 requests the whole list. */
  public DiscoveryClient(
      Network network, InetSocketAddress address, long revision, Listener listener) {
    this.network = network;
    this.address = address;
    this.revision = revision;
    this.listener = listener;
  }

  /** Closes the current watch, then opens a new one if {@code on} is true. */
  public void watch(boolean on) {
    watchWanted = on;
    close(CloseReason.REPLACED);
    if (on) {
      watch = startCall("/catalog/members?watch=1&from=" + revision, true);
    }
  }

  /**
   * Opens a new watch as if no list had been received before, so that it begins with the whole
   * list.
   */
  public void watchFromStart() {
    revision = 0;
    watch(true);
  }

  /**
   * Changes the address of the discovery service. If a watch is wanted, it is reopened at the new
   * address immediately: the old address may close late, and the time limit for receiving a change
   * also covers changes that the old address no longer reports.
   */
  public void changeAddress(InetSocketAddress newAddress) {
    address = newAddress;
    if (watchWanted) {
      watch(true);
    }
  }

  /** Whether a watch is open or being opened. */
  public boolean isOpen() {
    return watch != null;
  }

  /** Fetches the whole list once, on a separate connection. */
  public void fetchEndpoints() {
    startCall("/catalog/members", false);
  }

  /** Closes the watch without reporting a failure; fetches continue. */
  public void close(CloseReason reason) {
    DiscoveryCall oldWatch = watch;
    watch = null;
    if (oldWatch != null) {
      oldWatch.endOnceProcessed(reason);
    }
  }

  private DiscoveryCall startCall(String path, boolean isWatch) {
    try {
      return new DiscoveryCall(
          network,
          network.newChannel(),
          address,
          "GET "
              + path
              + " HTTP/1.1\r\nHost: "
              + address.getHostString()
              + ":"
              + address.getPort()
              + "\r\nAccept: application/json\r\n\r\n",
          isWatch,
          this);
    } catch (IOException e) {
      network
          .log()
          .println("discovery: failed to open a channel for " + path + ": " + e.getMessage());
      network.post(this::reportFailure);
      return null;
    }
  }

  /**
   * Forwards a list to the listener unless it is stale. A stale list would make draining and
   * removed endpoints assignable again.
   */
  void onEndpointList(EndpointList list) {
    if (list.revision() < revision
        && network.loop().nowMicros() < newestListMicros + STALE_LIST_WINDOW_MICROS) {
      network
          .log()
          .println(
              "discovery: ignored endpoint list with revision "
                  + list.revision()
                  + ", older than current revision "
                  + revision);
      return;
    }
    revision = list.revision();
    newestListMicros = network.loop().nowMicros();
    network.counters().add(Counters.Name.LISTS_HEARD);
    listener.onEndpoints(list);
  }

  /** Reports the end of the current watch as a failure, that of a fetch only if it got no list. */
  void onCallClosed(DiscoveryCall call, boolean isWatch, boolean listReceived) {
    if (call == watch) {
      watch = null;
      reportFailure();
    } else if (!isWatch && !listReceived) {
      reportFailure();
    }
  }

  private void reportFailure() {
    network.counters().add(Counters.Name.DISCOVERY_FAILURES);
    listener.onDiscoveryFailed();
  }
}

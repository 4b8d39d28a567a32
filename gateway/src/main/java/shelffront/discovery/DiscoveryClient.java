package shelffront.discovery;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Collection;
import shelffront.config.EndpointList;
import shelffront.membership.WatchSuccession;
import shelffront.net.CloseReason;
import shelffront.net.Counters;
import shelffront.net.Network;

/**
 * Obtains the endpoint list from the discovery service, through watches and fetches of the whole
 * list. Usually one watch is open; {@link WatchSuccession} decides how long it stays when another
 * is opened.
 *
 * <p>Invariants: lists of every open watch are forwarded, but one older than the newest list is
 * ignored within {@link #STALE_LIST_WINDOW_MICROS} after it. Retries are left to the listener. Runs
 * on the loop thread.
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

  /** Number of changes of the service; a call belongs to the service at which it was started. */
  private int service;

  /** Whether a watch is wanted; the watch itself may have failed. */
  private boolean watchWanted;

  private final WatchSuccession<DiscoveryCall> watches = new WatchSuccession<>();

  /** Creates a client that knows the list of this revision; 0 requests the whole list. */
  public DiscoveryClient(
      Network network, InetSocketAddress address, long revision, Listener listener) {
    this.network = network;
    this.address = address;
    this.revision = revision;
    this.listener = listener;
  }

  /** Opens a watch, which replaces the open ones once it has delivered, or closes all of them. */
  public void watch(boolean on) {
    watchWanted = on;
    if (!on) {
      close(CloseReason.REPLACED);
      return;
    }
    DiscoveryCall watch = startCall("/catalog/members?watch=1&from=" + revision, true);
    if (watch != null) {
      watches
          .add(watch, network.loop().nowMicros())
          .ifPresent(evicted -> evicted.endOnceProcessed(CloseReason.REPLACED));
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
   * Changes the address of the discovery service. If a watch is wanted, one is opened at the new
   * address immediately: the old address may close late, and the time limit for receiving a change
   * also covers changes that the old address no longer reports. The watch at the old address stays
   * until then, because the new one may itself be replaced before it is answered.
   */
  public void changeAddress(InetSocketAddress newAddress) {
    address = newAddress;
    if (watchWanted) {
      watch(true);
    }
  }

  /**
   * Changes to another discovery service, which counts the revisions of a list of its own. What the
   * former service still sends is ignored, and the first watch at the new one begins with its whole
   * list. The listener keeps the last list until then.
   */
  public void changeService(InetSocketAddress newAddress) {
    close(CloseReason.REPLACED);
    service++;
    revision = 0;
    newestListMicros = 0;
    changeAddress(newAddress);
  }

  /** Whether the watch that was started last is open or being opened. */
  public boolean isOpen() {
    return watches.isNewestOpen();
  }

  /** Fetches the whole list once, on a separate connection. */
  public void fetchEndpoints() {
    startCall("/catalog/members", false);
  }

  /** Closes the watches without reporting a failure; fetches continue. */
  public void close(CloseReason reason) {
    endAll(watches.removeAll(), reason);
  }

  private static void endAll(Collection<DiscoveryCall> ended, CloseReason reason) {
    ended.forEach(watch -> watch.endOnceProcessed(reason));
  }

  /** Ends the older watches, which the line of a watch has made superfluous. */
  void onWatchLine(DiscoveryCall watch) {
    endAll(watches.onDelivered(watch), CloseReason.REPLACED);
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
          service,
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
   * Forwards a list to the listener unless it is stale or from a former service. A stale list would
   * make draining and removed endpoints assignable again.
   *
   * @param listService number of the service that the list is from
   */
  void onEndpointList(EndpointList list, int listService) {
    if (listService != service) {
      return;
    }
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

  /** Reports the end of the newest watch as a failure, that of a fetch only if it got no list. */
  void onCallClosed(DiscoveryCall call, boolean isWatch, boolean listReceived) {
    boolean failed = isWatch ? watches.remove(call) : !listReceived;
    if (failed) {
      reportFailure();
    }
  }

  private void reportFailure() {
    network.counters().add(Counters.Name.DISCOVERY_FAILURES);
    listener.onDiscoveryFailed();
  }
}

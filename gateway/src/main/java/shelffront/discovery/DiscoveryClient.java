package shelffront.discovery;

import java.io.IOException;
import java.net.InetSocketAddress;
import shelffront.config.EndpointList;
import shelffront.net.CloseReason;
import shelffront.net.Counters;
import shelffront.net.Network;

/**
 * Asks discovery for the endpoint list: one standing watch, and fetches of the whole list.
 *
 * <p>Invariants: at most one watch stands; an older list never follows a newer one within {@link
 * #STALE_LIST_WINDOW_MICROS}. It retries nothing by itself: its listener does. Runs on the loop
 * thread.
 */
public final class DiscoveryClient {

  /** Takes what discovery tells. */
  public interface Listener {

    /** A list has come that is not older than the newest. */
    void onEndpoints(EndpointList list);

    /** A watch or a fetch has failed; the list stands. */
    void onDiscoveryFailed();
  }

  /**
   * In microseconds, how long a call may be without a whole line of its list. A watch on which
   * nothing changes writes an empty one every 2 s, and a call that waits its turn has its answer
   * within 2 s (the platform's protocol); a loop or a network that is busy may be half a second
   * late with either.
   *
   * <p>A change counts as told 6 s after discovery had it and could be reached, whatever had failed
   * before. A call that was out then is given up 2.5 s later at the most, whatever trickles in on
   * it; the module asks anew after at most 0.9 s where lists are asked for, {@code Tenant} after
   * 0.1 s where they are pushed; and that call's answer is there within 2.5 s. Together 5.9 s, with
   * nothing of the grace that the settings give a drain. Only a call whose headers came in between
   * has 2.5 s more for its first line, which that grace covers.
   */
  static final long SILENCE_TIMEOUT_MICROS = 2_500_000;

  /**
   * For so long after the newest list an older one is late, not the beginning of another count of
   * revisions.
   */
  private static final long STALE_LIST_WINDOW_MICROS = 30_000_000;

  private final Network network;
  private final Listener listener;
  private InetSocketAddress address;
  private long revision;
  private long newestAtMicros;

  /** As ordered; the watch itself may have failed. */
  private boolean watching;

  private DiscoveryCall watch;

  /** The revision is that of the list that is known already; 0 asks for the whole list. */
  public DiscoveryClient(
      Network network, InetSocketAddress address, long revision, Listener listener) {
    this.network = network;
    this.address = address;
    this.revision = revision;
    this.listener = listener;
  }

  /** Starts the watch anew, or ends it. */
  public void watch(boolean on) {
    watching = on;
    close(CloseReason.REPLACED);
    if (on) {
      watch = call("/catalog/members?watch=1&from=" + revision, true);
    }
  }

  /**
   * Starts the watch as if nothing had been heard before, so that it begins with the whole list.
   */
  public void watchFromStart() {
    revision = 0;
    watch(true);
  }

  /**
   * Discovery answers elsewhere from now on. A watch that is asked for starts there at once: the
   * old address may close late, and what it no longer tells counts as told all the same.
   */
  public void changeAddress(InetSocketAddress to) {
    address = to;
    if (watching) {
      watch(true);
    }
  }

  /** Whether a watch stands or is being set up. */
  public boolean isOpen() {
    return watch != null;
  }

  /** Fetches the whole list once, on a connection of its own. */
  public void fetchEndpoints() {
    call("/catalog/members", false);
  }

  /** Ends the watch without a report of failure; fetches go on. */
  public void close(CloseReason reason) {
    DiscoveryCall old = watch;
    watch = null;
    if (old != null) {
      old.endOnceProcessed(reason);
    }
  }

  private DiscoveryCall call(String path, boolean standing) {
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
          standing,
          this);
    } catch (IOException e) {
      network.log().println("no socket for discovery: " + e.getMessage());
      network.post(this::failed);
      return null;
    }
  }

  /**
   * Guards against an older list after a newer one, which would have what drains and what is gone
   * used again.
   */
  void onEndpointList(EndpointList list) {
    if (list.revision() < revision
        && network.loop().nowMicros() < newestAtMicros + STALE_LIST_WINDOW_MICROS) {
      network.log().println("discovery: list " + list.revision() + " is older than " + revision);
      return;
    }
    revision = list.revision();
    newestAtMicros = network.loop().nowMicros();
    network.counters().add(Counters.Name.LISTS_HEARD);
    listener.onEndpoints(list);
  }

  /** A watch counts as failed whatever ended it; a fetch only where no list came. */
  void onCallClosed(DiscoveryCall call, boolean standing, boolean listCame) {
    if (call == watch) {
      watch = null;
      failed();
    } else if (!standing && !listCame) {
      failed();
    }
  }

  private void failed() {
    network.counters().add(Counters.Name.DISCOVERY_FAILURES);
    listener.onDiscoveryFailed();
  }
}

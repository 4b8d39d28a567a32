package shelffront.discovery;

import java.io.IOException;
import java.net.InetSocketAddress;
import shelffront.config.MemberList;
import shelffront.net.CloseReason;
import shelffront.net.Counters;
import shelffront.net.Network;

/** Asks discovery for the list of database hosts: one standing watch, and fetches of the whole list. */
public final class Discovery {

    /** Takes what discovery tells. */
    public interface Listener {

        void heard(MemberList list);

        /** A watch or a fetch has failed; the list stands. */
        void failed();
    }

    /** A watch on which nothing changes writes an empty line as often, in microseconds (the platform's protocol). */
    private static final long LINE_EVERY = 2_000_000;
    /** A loop that is busy, or a network that is, may be as late with a line. */
    private static final long LATE = 500_000;

    private final Network network;
    private final Listener listener;
    private final long mostSilence;
    private InetSocketAddress address;
    private long revision;
    private boolean watching;         // as asked; the watch itself may have failed
    private DiscoveryCall watch;

    /**
     * Where lists are pushed the address is an agent's on this machine: it answers at once, a watch opened anew is
     * free, and one line that does not come is silence. Where discovery is asked, calls wait their turn for up to 2 s,
     * at the cost of all gateways, so two lines have to be missing.
     *
     * <p>Either is in time. A change missed counts as told 6 s after the silence began, or 2 s after the wait w of the
     * call that replaces the watch; a host that drains may still be sent to for the settings' grace, 2 s. With 4.5 s
     * until the watch is given up a list asked for then is here by 4.5 s + w, and with one failed call between by
     * 4.65 s + 2 w: before 4.5 s + w + 2 s + 2 s for any wait up to 3.85 s.
     *
     * @param pushed whether lists are pushed, by the settings
     */
    public Discovery(Network network, InetSocketAddress address, long revision, boolean pushed, Listener listener) {
        mostSilence = (pushed ? 1 : 2) * LINE_EVERY + LATE;
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

    /** Starts the watch as if nothing had been heard before, so that it begins with the whole list. */
    public void watchAnew() {
        revision = 0;
        watch(true);
    }

    /**
     * Discovery answers elsewhere from now on. A watch that is asked for starts there at once: the old address may
     * close late, and what it no longer tells counts as told all the same.
     */
    public void move(InetSocketAddress to) {
        address = to;
        if (watching) {
            watch(true);
        }
    }

    /** Whether a watch stands or is being set up. */
    public boolean isOpen() {
        return watch != null;
    }

    public void fetch() {
        call("/catalog/members", false);
    }

    public void close(CloseReason reason) {
        DiscoveryCall old = watch;
        watch = null;
        if (old != null) {
            old.close(reason);
        }
    }

    private DiscoveryCall call(String path, boolean standing) {
        try {
            return new DiscoveryCall(network, network.newChannel(), address, "GET " + path + " HTTP/1.1\r\nHost: "
                    + address.getHostString() + ":" + address.getPort() + "\r\nAccept: application/json\r\n\r\n",
                    standing, mostSilence, this);
        } catch (IOException e) {
            network.log().println("no socket for discovery: " + e.getMessage());
            network.post(this::failed);
            return null;
        }
    }

    void heard(MemberList list) {
        revision = Math.max(revision, list.revision());
        network.counters().add(Counters.Name.LISTS_HEARD);
        listener.heard(list);
    }

    /** A watch counts as failed whatever ended it; a fetch only where no list came. */
    void ended(DiscoveryCall call, boolean standing, boolean listCame) {
        if (call == watch) {
            watch = null;
            failed();
        } else if (!standing && !listCame) {
            failed();
        }
    }

    private void failed() {
        network.counters().add(Counters.Name.DISCOVERY_FAILURES);
        listener.failed();
    }
}

package shelffront.server;

import static java.nio.charset.StandardCharsets.US_ASCII;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.AsynchronousSocketChannel;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import shelffront.config.MemberList;
import shelffront.exchange.Attempt;
import shelffront.net.CloseReason;
import shelffront.net.Counters;
import shelffront.net.Network;
import shelffront.pg.Message;
import shelffront.route.Router.Availability;
import shelffront.route.Router.Limits;
import shelffront.route.Router.Member;
import shelffront.route.Router.Status;
import shelffront.share.Holdings;
import shelffront.share.Holdings.Holding;
import shelffront.share.Holdings.Verdict;

/** The server side: a pool of connections to each database host, the attempts and the probes. */
public final class Servers {

  /**
   * Takes what comes back; called once for each attempt and probe, never from within the call that
   * began it.
   */
  public interface Listener {

    void ended(Attempt attempt, Reply reply);

    /** Whether an attempt may still be written, now that a connection is there for it. */
    boolean mayStart(Attempt attempt);

    void probed(String member, Reply reply, long took);
  }

  /** Who the hosts are told this is. */
  public record Login(String user, String database) {}

  private static final byte[] PROBE = Message.query("SHOW usage".getBytes(US_ASCII));

  private final Network network;
  private final Limits limits;
  private final Holding sockets;
  final Login login;
  private final Listener listener;
  private final Map<String, Host> hosts = new TreeMap<>();

  /** In the order of their begin, so that closing all goes the same way each time. */
  private final Map<Attempt, HostCall> calls = new LinkedHashMap<>();

  private boolean owes; // another tenant waits for a socket, and none of these was idle

  /** Each connection takes one of the sockets, divided by weight and bounded, while it is open. */
  public Servers(
      Network network,
      Limits limits,
      Holdings sockets,
      double weight,
      int mostSockets,
      Login login,
      Listener listener) {
    this.network = network;
    this.limits = limits;
    this.sockets =
        sockets.join(
            weight,
            mostSockets,
            () -> network.post(this::giveOneBack),
            () -> network.post(this::oneCame));
    this.login = login;
    this.listener = listener;
  }

  /** Takes the addresses of a list; connections to hosts that left it, or moved, are given back. */
  public void listed(MemberList list) {
    for (Member m : list.members()) {
      if (m.availability() == Availability.GONE) {
        leave(m.id());
        continue;
      }
      InetSocketAddress address = list.addresses().get(m.id());
      Host host = hosts.computeIfAbsent(m.id(), Host::new);
      if (host.address != null && !host.address.equals(address)) {
        closeIdle(host, CloseReason.LEFT_LIST);
      }
      host.address = address;
    }
    if (list.complete()) {
      List<String> named = list.members().stream().map(Member::id).toList();
      List.copyOf(hosts.keySet()).stream().filter(id -> !named.contains(id)).forEach(this::leave);
    }
  }

  private void leave(String member) {
    Host host = hosts.remove(member);
    if (host != null) {
      closeIdle(host, CloseReason.LEFT_LIST);
    }
  }

  public void start(Attempt attempt) {
    Host host = hosts.get(attempt.member);
    HostCall call = new HostCall(attempt.member, host, attempt, network.loop().now());
    calls.put(attempt, call);
    call.endBy = network.loop().at(attempt.exchange.deadline, () -> giveUp(call, Status.TIMEOUT));
    begin(call);
  }

  public void probe(String member) {
    HostCall call = new HostCall(member, hosts.get(member), null, network.loop().now());
    network.counters().add(Counters.Name.PROBES_SENT);
    call.endBy = network.loop().after(limits.connectTimeout(), () -> giveUp(call, Status.TIMEOUT));
    begin(call);
  }

  /** Calls the attempt off; its outcome follows unless it is over already. */
  public void cancel(Attempt attempt) {
    HostCall call = calls.get(attempt);
    if (call != null) {
      abandon(call, CloseReason.CANCELLED);
      network.post(() -> finish(call, Reply.of(Status.CANCELLED)));
    }
  }

  public void closeIdle(String member) {
    if (hosts.containsKey(member)) {
      closeIdle(hosts.get(member), CloseReason.GIVEN_BACK);
    }
  }

  /** Ends every connection and whatever waits for one; outcomes follow where any are owed. */
  public void closeAll(CloseReason reason) {
    for (Host host : hosts.values()) {
      List.copyOf(host.connections).forEach(c -> c.close(reason));
      List.copyOf(host.waiting).forEach(e -> finish(e, Reply.of(Status.CONNECT_FAILED)));
      host.waiting.clear();
    }
    // Hosts that have left the list may still carry some.
    for (HostCall call : List.copyOf(calls.values())) {
      abandon(call, reason);
      finish(call, Reply.of(Status.CANCELLED));
    }
  }

  private void closeIdle(Host host, CloseReason reason) {
    List.copyOf(host.idle).forEach(c -> c.close(reason));
  }

  private void begin(HostCall call) {
    Host host = call.host;
    if (host == null) {
      network.post(() -> finish(call, Reply.of(Status.CONNECT_FAILED)));
      return;
    }
    HostConnection connection = host.idle.pollLast();
    while (connection != null && connection.hasUnseen()) {
      // Its end, or what nobody asked for, waits to be looked at: written to, it would seem to have
      // been sent.
      connection = host.idle.pollLast();
    }
    if (connection != null) {
      carry(connection, call);
      return;
    }
    call.connectBy =
        network.loop().after(limits.connectTimeout(), () -> giveUp(call, Status.CONNECT_FAILED));
    host.waiting.add(call);
    if (host.opening < host.waiting.size()) {
      open(host);
    }
  }

  /**
   * At the bound for sockets the call waits for a connection of its host, or for a socket, to come
   * free.
   */
  private void open(Host host) {
    Verdict verdict = sockets.take(false);
    if (verdict != Verdict.TAKEN && evict()) {
      verdict = sockets.take(true);
    }
    if (verdict != Verdict.TAKEN) {
      return;
    }
    AsynchronousSocketChannel channel;
    try {
      channel = network.newChannel();
    } catch (IOException e) {
      network.log().println("no socket for " + host.id + ": " + e.getMessage());
      sockets.giveBack();
      return;
    }
    host.opening++;
    network.counters().add(Counters.Name.HOST_CONNECTIONS_OPENED);
    HostConnection connection =
        new HostConnection(network, channel, host, this, limits.connectTimeout());
    host.connections.add(connection);
    connection.open();
  }

  /** What another tenant is owed: an idle connection goes now, or the next that falls idle. */
  private void giveOneBack() {
    owes = sockets.beyond() > 0 && !evict();
  }

  private void oneCame() {
    sockets.told();
    for (Host host : hosts.values()) {
      if (!openForWaiting(host)) {
        return;
      }
    }
  }

  /** As many connections as calls wait for; false where no socket is left for them. */
  private boolean openForWaiting(Host host) {
    while (host.opening < host.waiting.size()) {
      int before = host.opening;
      open(host);
      if (host.opening == before) {
        return false;
      }
    }
    return true;
  }

  /** Its part of the sockets, which it shares with others, may change. */
  public void bound(double weight, int mostSockets) {
    sockets.change(weight, mostSockets);
  }

  /** Sockets that are open to hosts. */
  public int held() {
    return sockets.held();
  }

  private boolean evict() {
    for (Host host : hosts.values()) {
      if (!host.idle.isEmpty()) {
        host.idle.peekFirst().close(CloseReason.EVICTED);
        return true;
      }
    }
    return false;
  }

  void opened(HostConnection connection) {
    connection.host.opening--;
    freed(connection);
  }

  /**
   * The connection carries nothing now: it takes the next call or idles, for less than hosts allow.
   */
  void freed(HostConnection connection) {
    Host host = connection.host;
    if (connection.isClosed()) {
      return;
    }
    if (!connection.isCurrent()) {
      connection.close(CloseReason.LEFT_LIST);
      openForWaiting(host);
      return;
    }
    HostCall next = host.waiting.poll();
    // What the choice of one that waited rested on may hold no longer.
    while (next != null && next.attempt != null && !listener.mayStart(next.attempt)) {
      HostCall late = next;
      network.post(() -> finish(late, Reply.of(Status.NOT_SENT)));
      next = host.waiting.poll();
    }
    if (next != null) {
      carry(connection, next);
    } else if (owes && sockets.beyond() > 0) {
      owes = false;
      connection.close(CloseReason.GIVEN_BACK);
    } else if (hosts.get(host.id) != host) {
      connection.close(CloseReason.LEFT_LIST);
    } else {
      host.idle.addLast(connection);
      connection.idleUntil(network.loop().now() + limits.connectionIdle() * 4 / 5);
    }
  }

  private void carry(HostConnection connection, HostCall call) {
    if (call.connectBy != null) {
      call.connectBy.cancel();
    }
    call.on = connection;
    if (call.attempt == null) {
      connection.begin(call, PROBE);
      return;
    }
    call.attempt.sentAt = network.loop().now();
    long left = call.attempt.exchange.deadline - network.loop().now();
    connection.begin(
        call, Message.query(call.attempt.exchange.statement.withWait(Math.max(1, left / 1000))));
  }

  /** A connection that ends while it opens takes the call that waited longest with it. */
  void ended(HostConnection connection) {
    Host host = connection.host;
    sockets.giveBack();
    host.connections.remove(connection);
    host.idle.remove(connection);
    if (!connection.ready()) {
      host.opening--;
      HostCall first = host.waiting.poll();
      if (first != null) {
        network.post(() -> finish(first, Reply.of(Status.CONNECT_FAILED)));
      }
    }
  }

  private void giveUp(HostCall call, Status status) {
    abandon(call, CloseReason.TIMED_OUT);
    if (call.attempt == null && call.host != null) {
      // Guards against a machine that vanished and came back: its old connections look open and are
      // dead,
      // and each would cost a request. Probes are answered beside the queue, so silence is no
      // overload.
      closeIdle(call.host, CloseReason.SILENT);
    }
    finish(call, Reply.of(status));
  }

  private void abandon(HostCall call, CloseReason reason) {
    if (call.on != null) {
      call.on.abandon(reason);
    } else if (call.host != null) {
      call.host.waiting.remove(call);
    }
  }

  void finish(HostCall call, Reply reply) {
    if (call.over) {
      return;
    }
    call.over = true;
    call.on = null;
    call.endBy.cancel();
    if (call.connectBy != null) {
      call.connectBy.cancel();
    }
    if (call.attempt != null) {
      calls.remove(call.attempt);
      listener.ended(call.attempt, reply);
    } else {
      listener.probed(call.member, reply, network.loop().now() - call.startedAt);
    }
  }
}

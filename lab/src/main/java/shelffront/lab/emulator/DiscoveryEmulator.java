package shelffront.lab.emulator;

import static java.nio.charset.StandardCharsets.US_ASCII;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import shelffront.lab.transport.ConnectionHandler;
import shelffront.lab.transport.Transport;
import shelffront.lab.transport.TransportConnection;
import shelffront.tenant.TenantSpecCodec;

/**
 * Emulates the platform's discovery service: serves the endpoint list over HTTP, once or as a
 * watch, and announces changes with a configurable delay. Its state is confined to the transport's
 * thread.
 */
public final class DiscoveryEmulator {

  private static final String FROM_PARAMETER = "from=";
  private static final long PING_MICROS = 2_000_000;

  /** An entry of the endpoint list as it is sent to gateways. */
  public record EndpointLine(
      String id,
      String address,
      int replicaSet,
      String phase,
      long startedAtMillis,
      boolean primary) {}

  /** Observes the endpoint updates that are sent. */
  public interface UpdateListener {

    /** Called after an update was handed to an open connection; complete for a snapshot. */
    void updateSent(TransportConnection connection, List<EndpointLine> endpoints, boolean complete);
  }

  private final Transport transport;
  private final InetSocketAddress address;
  private final UpdateListener listener;
  private final Map<String, EndpointLine> lines = new LinkedHashMap<>();
  private final TreeMap<Long, EndpointLine> changes = new TreeMap<>();
  private final List<WatchConnection> watches = new ArrayList<>();
  private long revision = 1;
  private boolean down;

  /**
   * Starts to listen.
   *
   * @throws IOException if the address cannot be bound
   */
  public DiscoveryEmulator(Transport transport, InetSocketAddress address, UpdateListener listener)
      throws IOException {
    this.transport = transport;
    this.address = address;
    this.listener = listener;
    listen(address);
    transport.clock().after(PING_MICROS, this::ping);
  }

  /**
   * Listens on an additional address.
   *
   * @throws IOException if the address cannot be bound
   */
  public void listen(InetSocketAddress listenAddress) throws IOException {
    transport.listen(listenAddress, connection -> down ? null : new WatchConnection(connection));
  }

  public InetSocketAddress address() {
    return address;
  }

  /**
   * Adds, replaces or (phase Gone) removes an entry, and sends it to all watches, after a delay in
   * microseconds.
   */
  public void publish(EndpointLine line, long delay) {
    transport
        .clock()
        .after(
            delay,
            () -> {
              revision++;
              if (line.phase().equals("Gone")) {
                lines.remove(line.id());
              } else {
                lines.put(line.id(), line);
              }
              changes.put(revision, line);
              for (WatchConnection watch : List.copyOf(watches)) {
                watch.sendUpdate(List.of(line), false);
              }
            });
  }

  /** Resets the connections of all watches. */
  public void breakWatches() {
    List.copyOf(watches).forEach(ConnectionHandler::reset);
    watches.clear();
  }

  /** While down, new connections are refused; the watches that are open are reset at the start. */
  public void setDown(boolean enabled) {
    down = enabled;
    if (enabled) {
      breakWatches();
    }
  }

  private void ping() {
    List.copyOf(watches).forEach(watch -> watch.sendChunk("\n"));
    transport.clock().after(PING_MICROS, this::ping);
  }

  ObjectNode json(List<EndpointLine> endpoints, boolean complete) {
    ObjectNode list =
        TenantSpecCodec.JSON.createObjectNode().put("revision", revision).put("complete", complete);
    ArrayNode members = list.putArray("members");
    for (EndpointLine line : endpoints) {
      members
          .addObject()
          .put("id", line.id())
          .put("host_port", line.address())
          .put("locality", "a")
          .put("flavor", "x")
          .put("cell", line.replicaSet())
          .put("phase", line.phase())
          .put("size", 1.0)
          .put("up_since_ms", line.startedAtMillis())
          .put("access", line.primary() ? "writer" : "reader");
    }
    return list;
  }

  /** Returns the current list as a complete update. */
  public ObjectNode currentList() {
    return json(List.copyOf(lines.values()), true);
  }

  private final class WatchConnection extends ConnectionHandler {

    WatchConnection(TransportConnection accepted) {
      accept(accepted);
    }

    @Override
    protected void received(ByteBuffer bytes) {
      byte[] all = new byte[bytes.remaining()];
      bytes.duplicate().get(all);
      String text = new String(all, US_ASCII);
      if (!text.endsWith("\r\n\r\n")) {
        return;
      }
      bytes.position(bytes.limit());
      int from = text.indexOf(FROM_PARAMETER);
      if (from < 0) {
        byte[] body = currentList().toString().getBytes(US_ASCII);
        send(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n").getBytes(US_ASCII));
        send(body);
        notifyListener(List.copyOf(lines.values()), true);
        close();
        return;
      }
      send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(US_ASCII));
      long known =
          Long.parseLong(text.substring(from + FROM_PARAMETER.length(), text.indexOf(' ', from)));
      watches.add(this);
      if (known == 0 || known > revision) {
        sendUpdate(List.copyOf(lines.values()), true);
      } else {
        sendUpdate(List.copyOf(changes.tailMap(known, false).values()), false);
      }
    }

    void sendUpdate(List<EndpointLine> endpoints, boolean complete) {
      sendChunk(json(endpoints, complete) + "\n");
      notifyListener(endpoints, complete);
    }

    private void notifyListener(List<EndpointLine> endpoints, boolean complete) {
      if (!isClosed()) {
        listener.updateSent(connection, endpoints, complete);
      }
    }

    void sendChunk(String text) {
      send((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(US_ASCII));
    }

    @Override
    protected void ended(boolean reset) {
      watches.remove(this);
    }
  }
}

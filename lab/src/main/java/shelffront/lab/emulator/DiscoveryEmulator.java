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
 * The list of boxes, late, over HTTP with watches: discovery as the platform's gateways know it.
 */
public final class DiscoveryEmulator {

  private static final long PING = 2_000_000;

  /** A line of the list as it is told. */
  public record Line(
      String id, String address, int cell, String phase, long startedMs, boolean writer) {}

  /** Told of what the list says to whom, as it is written. */
  public interface Told {

    void told(TransportConnection to, List<Line> some, boolean complete);
  }

  private final Transport carrier;
  private final InetSocketAddress address;
  private final Told told;
  private final Map<String, Line> lines = new LinkedHashMap<>();
  private final TreeMap<Long, Line> changes = new TreeMap<>();
  private final List<Call> watches = new ArrayList<>();
  private long revision = 1;
  private boolean down;

  /** Where it listens; throws where that address can't be had. */
  public DiscoveryEmulator(Transport carrier, InetSocketAddress address, Told told)
      throws IOException {
    this.carrier = carrier;
    this.address = address;
    this.told = told;
    listen(address);
    carrier.clock().after(PING, this::ping);
  }

  /** Listens at another address too; throws where that can't be had. */
  public void listen(InetSocketAddress at) throws IOException {
    carrier.listen(at, wire -> down ? null : new Call(wire));
  }

  public InetSocketAddress address() {
    return address;
  }

  /** A line as it is from now on; told after the list's delay. */
  public void change(Line line, long delay) {
    carrier
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
              for (Call watch : List.copyOf(watches)) {
                watch.tell(List.of(line), false);
              }
            });
  }

  /** All watches break at once. */
  public void breakWatches() {
    List.copyOf(watches).forEach(ConnectionHandler::reset);
    watches.clear();
  }

  public void down(boolean on) {
    down = on;
    if (on) {
      breakWatches();
    }
  }

  private void ping() {
    List.copyOf(watches).forEach(w -> w.chunk("\n"));
    carrier.clock().after(PING, this::ping);
  }

  ObjectNode json(List<Line> some, boolean complete) {
    ObjectNode list =
        TenantSpecCodec.JSON.createObjectNode().put("revision", revision).put("complete", complete);
    ArrayNode members = list.putArray("members");
    for (Line l : some) {
      members
          .addObject()
          .put("id", l.id())
          .put("host_port", l.address())
          .put("locality", "a")
          .put("flavor", "x")
          .put("cell", l.cell())
          .put("phase", l.phase())
          .put("size", 1.0)
          .put("up_since_ms", l.startedMs())
          .put("access", l.writer() ? "writer" : "reader");
    }
    return list;
  }

  public ObjectNode whole() {
    return json(List.copyOf(lines.values()), true);
  }

  private final class Call extends ConnectionHandler {

    Call(TransportConnection accepted) {
      on(accepted);
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
      int from = text.indexOf("from=");
      if (from < 0) {
        byte[] body = whole().toString().getBytes(US_ASCII);
        send(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n").getBytes(US_ASCII));
        send(body);
        tells(List.copyOf(lines.values()), true);
        close();
        return;
      }
      send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(US_ASCII));
      long known = Long.parseLong(text.substring(from + 5, text.indexOf(' ', from)));
      watches.add(this);
      if (known == 0 || known > revision) {
        tell(List.copyOf(lines.values()), true);
      } else {
        tell(List.copyOf(changes.tailMap(known, false).values()), false);
      }
    }

    void tell(List<Line> some, boolean complete) {
      chunk(json(some, complete) + "\n");
      tells(some, complete);
    }

    private void tells(List<Line> some, boolean complete) {
      if (!isOver()) {
        told.told(end, some, complete);
      }
    }

    void chunk(String text) {
      send((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(US_ASCII));
    }

    @Override
    protected void ended(boolean reset) {
      watches.remove(this);
    }
  }
}

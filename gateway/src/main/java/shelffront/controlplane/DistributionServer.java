package shelffront.controlplane;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import shelffront.controlplane.DistributionException.DistributionGarbled;
import shelffront.controlplane.DistributionException.RecordRejected;
import shelffront.distribution.Staleness;
import shelffront.distribution.Version;
import shelffront.net.EventLog;

/**
 * The distributor's HTTP/1.1 listener. A poll that waits holds its connection and no thread: its
 * exchange is answered later, by whichever thread has the answer.
 *
 * <pre>
 *   POST /v1/subscriptions                    Subscribe  -> 201 Subscribed, 503 not ready
 *   POST /v1/subscriptions/ID/names           ChangeNames -> 200 Added, 404 unknown subscription
 *   GET  /v1/subscriptions/ID/changes?incarnation=&amp;sequence=&amp;waitMicros=
 *                                             -> 200 Polled, 404, 409 behind the subscriber
 *   POST /v1/subscriptions/ID/rejected        Rejected   -> 204
 *   GET  /v1/status                                      -> 200
 * </pre>
 */
final class DistributionServer implements AutoCloseable {

  private static final int GREATEST_BODY = 4 << 20;
  private static final int BACKLOG = 1024;
  private static final int NO_CONTENT = 204;
  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;
  private static final int OK = 200;

  private final HttpServer server;
  private final Distributor distributor;
  private final EventLog log;

  DistributionServer(
      InetSocketAddress listen, Distributor distributor, ExecutorService threads, EventLog log)
      throws IOException {
    this.distributor = distributor;
    this.log = log;
    System.setProperty(
        "sun.net.httpserver.nodelay", "true"); // else each answer waits 40 ms for an ACK
    // Seconds for a request to come and for its answer to be taken; a poll's wait is within the
    // second.
    System.setProperty("sun.net.httpserver.maxReqTime", "10");
    System.setProperty("sun.net.httpserver.maxRspTime", "30");
    System.setProperty(
        "sun.net.httpserver.maxIdleConnections",
        Integer.toString(2 * Distributor.MOST_SUBSCRIPTIONS));
    server = HttpServer.create(listen, BACKLOG);
    server.setExecutor(threads);
    server.createContext("/v1/subscriptions", this::subscriptions);
    server.createContext("/v1/status", this::status);
  }

  void start() {
    server.start();
  }

  InetSocketAddress address() {
    return server.getAddress();
  }

  private void subscriptions(HttpExchange exchange) {
    try {
      String[] parts = exchange.getRequestURI().getPath().split("/");
      byte[] body = exchange.getRequestBody().readNBytes(GREATEST_BODY);
      String call = exchange.getRequestMethod() + (parts.length == 5 ? " " + parts[4] : "");
      Subscription.Responder responder = (status, bytes) -> respond(exchange, status, bytes);
      switch (call) {
        case "POST" -> distributor.subscribe(DistributionMessages.Subscribe.read(body), responder);
        case "POST names" ->
            distributor.changeNames(
                parts[3], DistributionMessages.ChangeNames.read(body), responder);
        case "GET changes" -> {
          Map<String, String> query = query(exchange);
          distributor.poll(
              parts[3],
              new Version(number(query, "incarnation"), number(query, "sequence")),
              number(query, "waitMicros"),
              responder);
        }
        case "POST rejected" -> {
          DistributionMessages.Rejected rejected = DistributionMessages.Rejected.read(body);
          log.println(
              "record-rejected by a subscriber: "
                  + new RecordRejected(rejected.name(), rejected.version(), rejected.reason())
                      .getMessage());
          responder.answer(NO_CONTENT, new byte[0]);
        }
        default -> responder.answer(NOT_FOUND, new byte[0]);
      }
    } catch (DistributionGarbled | NumberFormatException e) {
      respond(exchange, BAD_REQUEST, new byte[0]);
    } catch (IOException e) {
      exchange.close();
    } catch (RuntimeException e) {
      log.println("distribution fault " + e);
      exchange.close();
    }
  }

  private void status(HttpExchange exchange) {
    Version version = distributor.version();
    long age = distributor.age();
    ObjectNode o =
        DistributionMessages.JSON
            .createObjectNode()
            .put("records", distributor.records())
            .put("subscriptions", distributor.subscriptions())
            .put("ageMillis", age == Staleness.NEVER ? -1 : age / 1000);
    DistributionMessages.put(o.putObject("version"), version);
    respond(exchange, OK, DistributionMessages.bytes(o));
  }

  private static Map<String, String> query(HttpExchange exchange) {
    Map<String, String> query = new HashMap<>();
    String raw = exchange.getRequestURI().getRawQuery();
    for (String part : raw == null ? new String[0] : raw.split("&")) {
      int equals = part.indexOf('=');
      if (equals > 0) {
        query.put(part.substring(0, equals), part.substring(equals + 1));
      }
    }
    return query;
  }

  private static long number(Map<String, String> query, String name) {
    return Long.parseLong(query.getOrDefault(name, ""));
  }

  private static void respond(HttpExchange exchange, int status, byte[] body) {
    try (exchange) {
      exchange.getResponseHeaders().set("Content-Type", "application/json");
      exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
      if (body.length > 0) {
        exchange.getResponseBody().write(body);
      }
    } catch (IOException e) {
      // Its subscriber has gone, and asks anew elsewhere.
      return;
    }
  }

  @Override
  public void close() {
    server.stop(0);
  }
}

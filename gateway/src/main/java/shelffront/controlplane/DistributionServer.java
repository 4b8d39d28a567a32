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
 * The HTTP/1.1 server of a distributor: parses each request, passes it to the {@link Distributor},
 * and writes the response.
 *
 * <pre>
 *   POST /v1/subscriptions              SubscribeRequest
 *       -> 201 SubscribeResponse, 503 not ready
 *   POST /v1/subscriptions/ID/names     ChangeNamesRequest
 *       -> 200 ChangeNamesResponse, 404 unknown subscription
 *   GET  /v1/subscriptions/ID/changes?incarnation=&amp;sequence=&amp;waitMicros=
 *       -> 200 PollResponse, 404 unknown subscription, 409 behind the subscriber
 *   POST /v1/subscriptions/ID/rejected  RejectionReport
 *       -> 204
 *   GET  /v1/status
 *       -> 200
 * </pre>
 *
 * <p>Threads: requests are read on the threads of the executor. A waiting poll occupies its
 * connection but no thread; the thread that completes the poll writes its response.
 */
final class DistributionServer implements AutoCloseable {

  private static final int MAX_BODY_BYTES = 4 << 20;
  private static final int BACKLOG = 1024;
  private static final int MICROS_PER_MILLI = 1000;
  private static final byte[] EMPTY_BODY = {};

  /**
   * Indexes of the segments of a path {@code /v1/subscriptions/ID/RESOURCE}, split at its slashes.
   */
  private static final int ID_SEGMENT = 3;

  private static final int RESOURCE_SEGMENT = 4;
  private static final int SEGMENTS_WITH_RESOURCE = 5;

  private final HttpServer server;
  private final Distributor distributor;
  private final EventLog log;

  DistributionServer(
      InetSocketAddress listen, Distributor distributor, ExecutorService threads, EventLog log)
      throws IOException {
    this.distributor = distributor;
    this.log = log;
    configureHttpServer();
    server = HttpServer.create(listen, BACKLOG);
    server.setExecutor(threads);
    server.createContext("/v1/subscriptions", this::serveSubscriptions);
    server.createContext("/v1/status", this::serveStatus);
  }

  /**
   * Configures the server of the JDK by system properties, its only means. They apply to the whole
   * process.
   */
  private static void configureHttpServer() {
    // With Nagle's algorithm each response would wait 40 ms for an ACK.
    System.setProperty("sun.net.httpserver.nodelay", "true");
    // Limits in seconds for reading a request and for writing its response. The wait of a poll
    // counts towards the second one.
    System.setProperty("sun.net.httpserver.maxReqTime", "10");
    System.setProperty("sun.net.httpserver.maxRspTime", "30");
    System.setProperty(
        "sun.net.httpserver.maxIdleConnections",
        Integer.toString(2 * Distributor.MAX_SUBSCRIPTIONS));
  }

  void start() {
    server.start();
  }

  InetSocketAddress address() {
    return server.getAddress();
  }

  private void serveSubscriptions(HttpExchange exchange) {
    try {
      String[] path = exchange.getRequestURI().getPath().split("/");
      byte[] body = exchange.getRequestBody().readNBytes(MAX_BODY_BYTES);
      dispatch(exchange, path, body);
    } catch (DistributionGarbled | NumberFormatException e) {
      respond(exchange, HttpStatus.BAD_REQUEST, EMPTY_BODY);
    } catch (IOException e) {
      exchange.close();
    } catch (RuntimeException e) {
      log.println("distributor failed to handle a request, closing the connection: " + e);
      exchange.close();
    }
  }

  private void dispatch(HttpExchange exchange, String[] path, byte[] body)
      throws DistributionGarbled {
    boolean hasResource = path.length == SEGMENTS_WITH_RESOURCE;
    String route = exchange.getRequestMethod() + (hasResource ? " " + path[RESOURCE_SEGMENT] : "");
    Subscription.Responder responder = (status, response) -> respond(exchange, status, response);
    switch (route) {
      case "POST" ->
          distributor.subscribe(DistributionMessages.SubscribeRequest.fromJson(body), responder);
      case "POST names" ->
          distributor.changeNames(
              path[ID_SEGMENT], DistributionMessages.ChangeNamesRequest.fromJson(body), responder);
      case "GET changes" -> poll(path[ID_SEGMENT], queryParameters(exchange), responder);
      case "POST rejected" -> {
        logRejected(DistributionMessages.RejectionReport.fromJson(body));
        responder.respond(HttpStatus.NO_CONTENT, EMPTY_BODY);
      }
      default -> responder.respond(HttpStatus.NOT_FOUND, EMPTY_BODY);
    }
  }

  private void poll(String id, Map<String, String> query, Subscription.Responder responder) {
    Version after =
        new Version(longParameter(query, "incarnation"), longParameter(query, "sequence"));
    distributor.poll(id, after, longParameter(query, "waitMicros"), responder);
  }

  private void logRejected(DistributionMessages.RejectionReport report) {
    RecordRejected error = new RecordRejected(report.name(), report.version(), report.reason());
    log.println("record-rejected by a subscriber: " + error.getMessage());
  }

  private void serveStatus(HttpExchange exchange) {
    Version version = distributor.version();
    long ageMicros = distributor.ageMicros();
    ObjectNode json =
        DistributionJson.newObject()
            .put("records", distributor.recordCount())
            .put("subscriptions", distributor.subscriptionCount())
            .put("ageMillis", ageMicros == Staleness.NEVER ? -1 : ageMicros / MICROS_PER_MILLI);
    DistributionJson.putVersion(json.putObject("version"), version);
    respond(exchange, HttpStatus.OK, DistributionJson.bytes(json));
  }

  private static Map<String, String> queryParameters(HttpExchange exchange) {
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

  private static long longParameter(Map<String, String> query, String name) {
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
      // The subscriber has disconnected and repeats its request on another connection.
      return;
    }
  }

  @Override
  public void close() {
    server.stop(0);
  }
}

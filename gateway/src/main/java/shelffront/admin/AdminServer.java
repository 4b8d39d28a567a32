package shelffront.admin;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import shelffront.net.EventLog;
import shelffront.store.DocumentStore;
import shelffront.tenant.TenantSpecCodec;

/**
 * The HTTP/1.1 server of the administration API, with its own listener and threads. Reads requests
 * and writes responses; {@link AdminRouter} and the resources behind it execute them. The API is
 * described in {@code docs/openapi.json}.
 */
public final class AdminServer implements AutoCloseable {

  private static final int MAX_BODY_BYTES = 1 << 20;
  private static final int THREADS = 24;
  private static final int MAX_WAITING_REQUESTS = 64;
  private static final int LISTEN_BACKLOG = 64;
  private static final int STOP_THREADS_AFTER_SECONDS = 60;
  private static final String API_VERSION = "v1";

  /** A connection is closed if its request has not arrived completely within this time. */
  private static final String MAX_REQUEST_SECONDS = "10";

  /** A connection is closed if its response has not been written completely within this time. */
  private static final String MAX_RESPONSE_SECONDS = "90";

  private final HttpServer server;
  private final ThreadPoolExecutor threads;
  private final AdminAuthenticator authenticator;
  private final AdminRouter router;
  private final IdempotencyCache idempotencyCache = new IdempotencyCache();
  private final EventLog log;

  /** Binds the listener; requests are not processed before {@link #start}. */
  public AdminServer(
      InetSocketAddress listen,
      DocumentStore store,
      TenantAdministration administration,
      AdminTokens tokens,
      FleetResource fleet,
      EventLog log)
      throws IOException {
    System.setProperty("sun.net.httpserver.maxReqTime", MAX_REQUEST_SECONDS);
    System.setProperty("sun.net.httpserver.maxRspTime", MAX_RESPONSE_SECONDS);
    // Without TCP_NODELAY each response waits 40 ms for a delayed ACK.
    System.setProperty("sun.net.httpserver.nodelay", "true");
    authenticator = new AdminAuthenticator(tokens);
    router = new AdminRouter(store, administration, tokens, fleet);
    this.log = log;
    server = HttpServer.create(listen, LISTEN_BACKLOG);
    threads = threads();
    server.setExecutor(threads);
    server.createContext("/", this::handle);
  }

  private static ThreadPoolExecutor threads() {
    ThreadPoolExecutor threads =
        new ThreadPoolExecutor(
            THREADS,
            THREADS,
            STOP_THREADS_AFTER_SECONDS,
            TimeUnit.SECONDS,
            new ArrayBlockingQueue<>(MAX_WAITING_REQUESTS),
            task -> {
              Thread thread = new Thread(task, "admin");
              thread.setDaemon(true);
              return thread;
            });
    threads.allowCoreThreadTimeOut(true);
    return threads;
  }

  public void start() {
    server.start();
  }

  public InetSocketAddress address() {
    return server.getAddress();
  }

  @Override
  public void close() {
    server.stop(0);
    threads.shutdownNow();
  }

  private void handle(HttpExchange exchange) throws IOException {
    try (exchange) {
      AdminResponse response;
      try {
        response = process(exchange);
      } catch (ProblemException e) {
        response = new AdminResponse(e.status(), e.body(), headers(e.status()));
      } catch (RuntimeException e) {
        log.println(
            "admin fault: "
                + exchange.getRequestMethod()
                + " "
                + exchange.getRequestURI().getRawPath()
                + " failed, responding with status 500: "
                + e);
        response = internalError();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
      write(exchange, response);
    }
  }

  private AdminResponse process(HttpExchange exchange)
      throws ProblemException, IOException, InterruptedException {
    AdminTokens.Caller caller = authenticator.authenticate(exchange.getRequestHeaders());
    byte[] body = readBody(exchange);
    String rawPath = exchange.getRequestURI().getRawPath();
    AdminRequest request =
        new AdminRequest(
            caller,
            exchange.getRequestMethod(),
            path(rawPath),
            exchange.getRequestURI().getRawQuery(),
            exchange.getRequestHeaders(),
            body);
    return idempotencyCache.respond(rawPath, request, () -> router.route(request));
  }

  private static byte[] readBody(HttpExchange exchange) throws ProblemException, IOException {
    byte[] body = exchange.getRequestBody().readNBytes(MAX_BODY_BYTES + 1);
    if (body.length > MAX_BODY_BYTES) {
      throw new ProblemException(
          HttpStatus.CONTENT_TOO_LARGE,
          "Too large",
          "the body exceeds the limit of " + MAX_BODY_BYTES + " bytes");
    }
    return body;
  }

  /** Returns the path segments after the API version. */
  private static List<String> path(String rawPath) throws ProblemException {
    List<String> segments = Arrays.asList(rawPath.split("/", -1));
    for (String segment : segments.subList(1, segments.size())) {
      // Rejects encoded slashes and dots, so that a path cannot be read in two ways.
      if (!segment.matches(TenantSpecCodec.NAME_PATTERN)) {
        throw ProblemException.notFound();
      }
    }
    if (segments.size() < 3 || !segments.get(1).equals(API_VERSION)) {
      throw ProblemException.notFound();
    }
    return segments.subList(2, segments.size());
  }

  private static Map<String, String> headers(int status) {
    return switch (status) {
      case HttpStatus.UNAUTHORIZED -> Map.of("WWW-Authenticate", "Bearer");
      case HttpStatus.TOO_MANY_REQUESTS -> Map.of("Retry-After", "1");
      default -> Map.of();
    };
  }

  private static AdminResponse internalError() {
    int status = HttpStatus.INTERNAL_SERVER_ERROR;
    return AdminResponse.of(
        status,
        new ProblemException(status, "Fault", "internal error; see the log of the gateway").body());
  }

  private static void write(HttpExchange exchange, AdminResponse response) throws IOException {
    boolean error = HttpStatus.isError(response.status());
    exchange
        .getResponseHeaders()
        .set("Content-Type", error ? "application/problem+json" : "application/json");
    exchange.getResponseHeaders().set("Cache-Control", "no-store");
    response.headers().forEach(exchange.getResponseHeaders()::set);
    byte[] body =
        response.body() == null
            ? new byte[0]
            : TenantSpecCodec.JSON.writeValueAsBytes(response.body());
    exchange.sendResponseHeaders(response.status(), body.length == 0 ? -1 : body.length);
    exchange.getResponseBody().write(body);
  }
}

package shelffront.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import shelffront.admin.AdminTokens.Caller;
import shelffront.controlplane.DistributionException.RecordTooLarge;
import shelffront.coordination.OperatorException;
import shelffront.net.EventLog;
import shelffront.rolloutcontrol.RolloutException;
import shelffront.store.DocumentStore;
import shelffront.store.DocumentStore.AuditEntry;
import shelffront.store.DocumentStore.ConflictException;
import shelffront.store.DocumentStore.Entry;
import shelffront.store.DocumentStore.Kind;
import shelffront.tenant.ApiKeys;
import shelffront.tenant.Tenant;
import shelffront.tenant.TenantSpecCodec;
import shelffront.tenant.TenantSpecCodec.SpecException;

/**
 * The administration API: HTTP/1.1 and JSON on a listener and threads of its own. What each call
 * does and answers is written down in {@code docs/openapi.json}.
 */
public final class AdminServer implements AutoCloseable {

  private static final int MAX_BODY_BYTES = 1 << 20;
  private static final int WORKER_THREADS = 24;
  private static final int MAX_QUEUED_CALLS = 64;
  private static final int MAX_POLLS = 16;
  private static final int MAX_POLLS_PER_TOKEN = 4;
  private static final long MAX_POLL_MILLIS = 60_000;
  private static final int MAX_CACHED_RESPONSES = 1000;
  private static final long MAX_OVERLAP_MILLIS = 30L * 24 * 3600 * 1000;

  /** Within this time a client must have sent its request, else its connection is closed. */
  private static final String REQUEST_TIMEOUT_SECONDS = "10";

  /** The response to a POST with an Idempotency-Key, and a fingerprint of its path and body. */
  private record CachedResponse(String fingerprint, AdminResponse response) {}

  private final HttpServer server;
  private final ThreadPoolExecutor threads;
  private final DocumentStore store;
  private final TenantAdministration administration;
  private final AdminTokens tokens;
  private final FleetResource fleet;
  private final EventLog log;
  private final Semaphore polls = new Semaphore(MAX_POLLS);
  private final Map<String, Integer> pollCountByToken = new ConcurrentHashMap<>();
  private final Map<String, CachedResponse> responsesByKey = new LinkedHashMap<>();

  public AdminServer(
      InetSocketAddress listen,
      DocumentStore store,
      TenantAdministration administration,
      AdminTokens tokens,
      FleetResource fleet,
      EventLog log)
      throws IOException {
    System.setProperty("sun.net.httpserver.maxReqTime", REQUEST_TIMEOUT_SECONDS);
    System.setProperty("sun.net.httpserver.maxRspTime", "90");
    System.setProperty(
        "sun.net.httpserver.nodelay", "true"); // else each answer waits 40 ms for an ACK
    this.store = store;
    this.administration = administration;
    this.tokens = tokens;
    this.fleet = fleet;
    this.log = log;
    server = HttpServer.create(listen, 64);
    threads =
        new ThreadPoolExecutor(
            WORKER_THREADS,
            WORKER_THREADS,
            60,
            TimeUnit.SECONDS,
            new ArrayBlockingQueue<>(MAX_QUEUED_CALLS),
            task -> {
              Thread thread = new Thread(task, "admin");
              thread.setDaemon(true);
              return thread;
            });
    threads.allowCoreThreadTimeOut(true);
    server.setExecutor(threads);
    server.createContext("/", this::handle);
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
        response = route(exchange);
      } catch (ProblemException e) {
        Map<String, String> headers =
            e.status() == 401
                ? Map.of("WWW-Authenticate", "Bearer")
                : e.status() == 429 ? Map.of("Retry-After", "1") : Map.of();
        response = new AdminResponse(e.status(), e.body(), headers);
      } catch (RuntimeException e) {
        log.println("admin fault " + e);
        response =
            AdminResponse.of(
                500, new ProblemException(500, "Fault", "the request has failed").body());
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
      exchange
          .getResponseHeaders()
          .set(
              "Content-Type",
              response.status() >= 400 ? "application/problem+json" : "application/json");
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

  private AdminResponse route(HttpExchange exchange)
      throws ProblemException, IOException, InterruptedException {
    Caller caller = authenticate(exchange);
    byte[] body = exchange.getRequestBody().readNBytes(MAX_BODY_BYTES + 1);
    if (body.length > MAX_BODY_BYTES) {
      throw new ProblemException(413, "Too large", "a body may have " + MAX_BODY_BYTES + " bytes");
    }
    String path = exchange.getRequestURI().getRawPath();
    String[] parts = path.split("/", -1);
    for (int i = 1; i < parts.length; i++) {
      // Also rejects encoded slashes and dots, so that a path has one meaning only.
      if (!parts[i].matches(TenantSpecCodec.NAME)) {
        throw ProblemException.notFound();
      }
    }
    if (parts.length < 3 || !parts[1].equals("v1")) {
      throw ProblemException.notFound();
    }
    String method = exchange.getRequestMethod();
    String key = exchange.getRequestHeaders().getFirst("Idempotency-Key");
    if (!method.equals("POST") || key == null) {
      return dispatch(exchange, caller, method, parts, body);
    }
    if (!key.matches("[ -~]{1,200}")) {
      throw new ProblemException(
          400, "Bad request", "Idempotency-Key is 1 to 200 printable characters");
    }
    String fingerprint = path + " " + Arrays.toString(ApiKeys.hash(body));
    // One call at a time: of two calls with the same key the second finds the first one's response.
    synchronized (responsesByKey) {
      CachedResponse cached = responsesByKey.get(caller.token() + " " + key);
      if (cached == null) {
        AdminResponse response = dispatch(exchange, caller, method, parts, body);
        responsesByKey.put(caller.token() + " " + key, new CachedResponse(fingerprint, response));
        if (responsesByKey.size() > MAX_CACHED_RESPONSES) {
          responsesByKey.remove(responsesByKey.keySet().iterator().next());
        }
        return response;
      }
      if (!cached.fingerprint().equals(fingerprint)) {
        throw new ProblemException(
            422, "Key used before", "this Idempotency-Key came with another request");
      }
      return cached.response();
    }
  }

  private Caller authenticate(HttpExchange exchange) throws ProblemException {
    String authorization = exchange.getRequestHeaders().getFirst("Authorization");
    Caller caller =
        authorization == null || !authorization.startsWith("Bearer ")
            ? null
            : tokens.authenticate(authorization.substring(7));
    if (caller == null) {
      throw new ProblemException(401, "Not authorized", "a valid token is needed");
    }
    return caller;
  }

  private AdminResponse dispatch(
      HttpExchange exchange, Caller caller, String method, String[] parts, byte[] body)
      throws ProblemException, InterruptedException {
    try {
      switch (parts[2]) {
        case "tenants" -> {
          if (parts.length == 3) {
            return tenants(caller, method, body);
          }
          if (!caller.maySee(parts[3])) {
            throw ProblemException.notFound();
          }
          return tenant(exchange, caller, method, parts, body);
        }
        case "audit" -> {
          requireMethod(method, "GET");
          return audit(caller, queryParameters(exchange));
        }
        case "changes" -> {
          requireMethod(method, "GET");
          return changes(caller, queryParameters(exchange));
        }
        case "tokens" -> {
          return token(caller, method, parts, body);
        }
        case "export" -> {
          requireMethod(method, "GET");
          requireOperator(caller);
          return AdminResponse.of(200, store.export());
        }
        case "subjects" -> {
          requireOperator(caller);
          return fleet.subjects(method, parts, body);
        }
        case "distribution" -> {
          requireOperator(caller);
          return fleet.distribution(method, parts);
        }
        default -> throw ProblemException.notFound();
      }
    } catch (OperatorException e) {
      int status =
          e instanceof RolloutException.Contended
              ? 409
              : e instanceof RolloutException.UnknownSubject
                  ? 404
                  : e instanceof RolloutException || e instanceof RecordTooLarge ? 422 : 503;
      throw new ProblemException(status, e.code(), e.getMessage() + ". " + e.advice());
    } catch (SpecException e) {
      throw ProblemException.invalid(e);
    } catch (ConflictException e) {
      Entry present = e.present();
      throw new ProblemException(
          412,
          "Changed meanwhile",
          "it is not at the revision of If-Match",
          null,
          present == null ? null : toJson(present));
    }
  }

  // Tenants

  private AdminResponse tenants(Caller caller, String method, byte[] body)
      throws ProblemException, SpecException, ConflictException, OperatorException {
    if (method.equals("POST")) {
      requireOperator(caller);
      JsonNode document = TenantSpecCodec.parse(body);
      String id = document.path("id").asText();
      if (administration.get(id) != null) {
        throw new ProblemException(409, "Exists", "there is a tenant of this name", "/id", null);
      }
      return writtenResponse(
          201, id, administration.put(id, 0, document, caller.token(), "create"), document);
    }
    requireMethod(method, "GET");
    ArrayNode list = TenantSpecCodec.JSON.createArrayNode();
    administration.all().stream()
        .filter(entry -> caller.maySee(entry.name()))
        .forEach(entry -> list.add(toJson(entry)));
    ObjectNode answer =
        TenantSpecCodec.JSON.createObjectNode().put("revision", administration.revision());
    answer.set("tenants", list);
    return AdminResponse.of(200, answer);
  }

  private AdminResponse tenant(
      HttpExchange exchange, Caller caller, String method, String[] parts, byte[] body)
      throws ProblemException,
          SpecException,
          ConflictException,
          OperatorException,
          InterruptedException {
    String id = parts[3];
    Entry entry = administration.get(id);
    boolean create = method.equals("PUT") && parts.length == 4 && caller.isOperator();
    if (entry == null && !create) {
      throw ProblemException.notFound();
    }
    if (parts.length == 4) {
      switch (method) {
        case "GET" -> {
          return new AdminResponse(200, toJson(entry), Map.of("ETag", entityTag(entry.revision())));
        }
        case "PUT" -> {
          long expectedRevision = expectedRevision(exchange, entry);
          JsonNode document = TenantSpecCodec.parse(body);
          if (!caller.isOperator()) {
            requireSameBounds(entry.document(), document);
          }
          long revision =
              administration.put(id, expectedRevision, document, caller.token(), "change");
          return writtenResponse(entry == null ? 201 : 200, id, revision, document);
        }
        case "DELETE" -> {
          requireOperator(caller);
          long revision =
              administration.remove(id, expectedRevision(exchange, entry), caller.token());
          return AdminResponse.of(
              202, TenantSpecCodec.JSON.createObjectNode().put("id", id).put("revision", revision));
        }
        default -> throw methodNotAllowed();
      }
    }
    if (parts.length == 5 && parts[4].equals("boxes")) {
      requireMethod(method, "GET");
      return endpoints(entry);
    }
    if (parts.length == 5 && parts[4].equals("usage")) {
      requireMethod(method, "GET");
      return usage(id);
    }
    if (parts.length == 7 && parts[4].equals("boxes") && parts[6].equals("drain")) {
      if (!method.equals("POST") && !method.equals("DELETE")) {
        throw methodNotAllowed();
      }
      long revision = administration.drain(id, parts[5], method.equals("POST"), caller.token());
      return AdminResponse.of(
          200,
          TenantSpecCodec.JSON
              .createObjectNode()
              .put("id", parts[5])
              .put("drained", method.equals("POST"))
              .put("revision", revision));
    }
    if (parts[4].equals("keys") && parts.length <= 6) {
      return keys(entry, caller, method, parts, body);
    }
    throw ProblemException.notFound();
  }

  /**
   * Lists, creates and revokes the keys of a tenant's clients; a key is shown once, at creation.
   */
  private AdminResponse keys(Entry entry, Caller caller, String method, String[] parts, byte[] body)
      throws ProblemException, SpecException, ConflictException, OperatorException {
    if (parts.length == 6) {
      requireMethod(method, "DELETE");
      long revision = administration.revokeKey(entry.name(), parts[5], caller.token());
      if (revision == 0) {
        throw ProblemException.notFound();
      }
      return AdminResponse.of(
          200,
          TenantSpecCodec.JSON.createObjectNode().put("id", parts[5]).put("revision", revision));
    }
    if (method.equals("POST")) {
      JsonNode user = TenantSpecCodec.parse(body).path("user");
      if (!user.isTextual() || user.asText().isEmpty() || user.asText().length() > 63) {
        throw new ProblemException(
            422, "Not a valid document", "a user of 1 to 63 characters is needed", "/user", null);
      }
      TenantAdministration.CreatedKey created =
          administration.createKey(entry.name(), user.asText(), caller.token());
      if (created == null) {
        throw ProblemException.notFound();
      }
      return AdminResponse.of(
          201,
          TenantSpecCodec.JSON
              .createObjectNode()
              .put("id", created.id())
              .put("user", user.asText())
              .put("key", created.key())
              .put("revision", created.revision()));
    }
    requireMethod(method, "GET");
    ObjectNode answer = TenantSpecCodec.JSON.createObjectNode().put("revision", entry.revision());
    ArrayNode list = answer.putArray("keys");
    entry
        .document()
        .path("credentials")
        .forEach(
            credential ->
                list.addObject()
                    .put("id", TenantAdministration.keyId(credential.path("sha256").asText()))
                    .put("user", credential.path("user").asText()));
    return AdminResponse.of(200, answer);
  }

  /** The revision that If-Match names; 0 for a new tenant, by "If-None-Match: *". */
  private static long expectedRevision(HttpExchange exchange, Entry entry) throws ProblemException {
    String match = exchange.getRequestHeaders().getFirst("If-Match");
    if (match == null
        && entry == null
        && "*".equals(exchange.getRequestHeaders().getFirst("If-None-Match"))) {
      return 0;
    }
    if (match == null) {
      throw new ProblemException(
          428, "Precondition required", "If-Match must name the revision that is to be changed");
    }
    if (!match.matches("\"[0-9]{1,18}\"")) {
      throw new ProblemException(
          412,
          "Changed meanwhile",
          "If-Match names no revision",
          null,
          entry == null ? null : toJson(entry));
    }
    return Long.parseLong(match.substring(1, match.length() - 1));
  }

  /** Throws where a change that is not an operator's changes the tenant's weight or limits. */
  private static void requireSameBounds(JsonNode before, JsonNode after) throws ProblemException {
    for (String field : new String[] {"weight", "limits"}) {
      if (!before.path(field).equals(after.path(field))) {
        throw new ProblemException(
            403, "Not allowed", "only an operator may change this", "/" + field, null);
      }
    }
  }

  private static AdminResponse writtenResponse(
      int status, String id, long revision, JsonNode document) {
    return new AdminResponse(
        status, toJson(new Entry(id, revision, document)), Map.of("ETag", entityTag(revision)));
  }

  private static ObjectNode toJson(Entry entry) {
    ObjectNode json = TenantSpecCodec.JSON.createObjectNode().put("revision", entry.revision());
    json.set("tenant", entry.document());
    return json;
  }

  private static String entityTag(long revision) {
    return "\"" + revision + "\"";
  }

  private static AdminResponse endpoints(Entry entry) {
    ObjectNode answer = TenantSpecCodec.JSON.createObjectNode().put("revision", entry.revision());
    JsonNode boxes = entry.document().path("boxes");
    answer.set(
        "source",
        boxes.has("discovery")
            ? boxes.path("discovery")
            : TenantSpecCodec.JSON.getNodeFactory().textNode("list"));
    ArrayNode list = answer.putArray("boxes");
    boxes.path("list").forEach(endpoint -> list.add(endpoint.deepCopy()));
    answer.set(
        "drained",
        entry.document().has("drained")
            ? entry.document().path("drained")
            : TenantSpecCodec.JSON.createArrayNode());
    return AdminResponse.of(200, answer);
  }

  private AdminResponse usage(String id) throws ProblemException, InterruptedException {
    Tenant.Usage usage;
    try {
      usage = administration.usage(id).get(5, TimeUnit.SECONDS);
    } catch (ExecutionException | TimeoutException e) {
      throw new ProblemException(503, "Busy", "the gateway did not say in time");
    }
    if (usage == null) {
      throw ProblemException.notFound();
    }
    ObjectNode answer =
        TenantSpecCodec.JSON
            .createObjectNode()
            .put("id", id)
            .put("clientConnections", usage.clientConnections())
            .put("openRequests", usage.openRequests())
            .put("hostConnections", usage.hostConnections())
            .put("bufferBytes", usage.bufferBytes());
    ObjectNode counters = answer.putObject("counters");
    usage.counters().forEach((name, value) -> counters.put(name.toLowerCase(Locale.ROOT), value));
    return AdminResponse.of(200, answer);
  }

  // Audit log, changes and tokens

  private AdminResponse audit(Caller caller, Map<String, String> query) throws ProblemException {
    ObjectNode answer = TenantSpecCodec.JSON.createObjectNode().put("revision", store.revision());
    ArrayNode list = answer.putArray("entries");
    store.auditEntries(numberParameter(query, "after", 0), 1000).stream()
        .filter(
            entry ->
                caller.isOperator() || entry.kind() == Kind.TENANT && caller.maySee(entry.name()))
        .forEach(entry -> list.add(toJson(entry)));
    return AdminResponse.of(200, answer);
  }

  private static ObjectNode toJson(AuditEntry entry) {
    return TenantSpecCodec.JSON
        .createObjectNode()
        .put("revision", entry.revision())
        .put("before", entry.previousRevision())
        .put("at", entry.atMillis())
        .put("who", entry.actor())
        .put("what", entry.action())
        .put("kind", entry.kind().name().toLowerCase(Locale.ROOT))
        .put("name", entry.name());
  }

  private AdminResponse changes(Caller caller, Map<String, String> query)
      throws ProblemException, InterruptedException {
    long after = numberParameter(query, "after", 0);
    String wait = query.getOrDefault("wait", "0s");
    if (!wait.matches("[0-9]{1,4}(ms|s)")) {
      throw new ProblemException(400, "Bad request", "wait is a number of s or ms");
    }
    long waitMillis =
        wait.endsWith("ms")
            ? Long.parseLong(wait.substring(0, wait.length() - 2))
            : 1000 * Long.parseLong(wait.substring(0, wait.length() - 1));
    boolean mayWait =
        pollCountByToken.merge(caller.token(), 1, Integer::sum) <= MAX_POLLS_PER_TOKEN;
    if (!mayWait || !polls.tryAcquire()) {
      endPoll(caller);
      throw new ProblemException(
          429,
          "Too many polls",
          "at most "
              + MAX_POLLS_PER_TOKEN
              + " of one token may wait at a time,"
              + " and "
              + MAX_POLLS
              + " of all");
    }
    try {
      ObjectNode answer = TenantSpecCodec.JSON.createObjectNode();
      ArrayNode list = answer.putArray("changes");
      for (AuditEntry entry :
          administration.changes(after, Math.min(MAX_POLL_MILLIS, waitMillis), caller.tenant())) {
        ObjectNode change =
            list.addObject()
                .put("revision", entry.revision())
                .put("id", entry.name())
                .put("what", entry.action());
        long inForceAtMillis = administration.inForceAtMillis(entry.revision());
        if (inForceAtMillis > 0) {
          change.put("inForce", inForceAtMillis);
        }
      }
      return AdminResponse.of(200, answer);
    } finally {
      polls.release();
      endPoll(caller);
    }
  }

  private void endPoll(Caller caller) {
    pollCountByToken.computeIfPresent(
        caller.token(), (token, count) -> count == 1 ? null : count - 1);
  }

  private AdminResponse token(Caller caller, String method, String[] parts, byte[] body)
      throws ProblemException, SpecException, ConflictException, OperatorException {
    requireOperator(caller);
    if (parts.length == 3 && method.equals("POST")) {
      JsonNode asked = TenantSpecCodec.parse(body);
      JsonNode tenant = asked.path("tenant");
      if (!tenant.isMissingNode()
          && !tenant.isNull()
          && (!tenant.isTextual() || administration.get(tenant.asText()) == null)) {
        throw new ProblemException(
            422, "Not a valid document", "there is no such tenant", "/tenant", null);
      }
      return AdminResponse.of(
          201, createdToken(tokens.create(tenant.asText(null), caller.token())));
    }
    if (parts.length == 5 && parts[4].equals("rotate") && method.equals("POST")) {
      long overlap =
          body.length == 0
              ? 0
              : TenantSpecCodec.parse(body).path("overlapSeconds").asLong(0) * 1000;
      String rotated =
          tokens.rotate(
              parts[3], Math.max(0, Math.min(MAX_OVERLAP_MILLIS, overlap)), caller.token());
      if (rotated == null) {
        throw ProblemException.notFound();
      }
      return AdminResponse.of(200, createdToken(rotated));
    }
    if (parts.length == 4 && method.equals("DELETE")) {
      if (!tokens.revoke(parts[3], caller.token())) {
        throw ProblemException.notFound();
      }
      return AdminResponse.of(204, null);
    }
    throw parts.length > 5 ? ProblemException.notFound() : methodNotAllowed();
  }

  private static ObjectNode createdToken(String token) {
    return TenantSpecCodec.JSON
        .createObjectNode()
        .put("id", token.substring(0, token.indexOf('.')))
        .put("token", token);
  }

  /** Throws "not found" for others, who must not learn of what only operators may call. */
  private static void requireOperator(Caller caller) throws ProblemException {
    if (!caller.isOperator()) {
      throw ProblemException.notFound();
    }
  }

  static void requireMethod(String method, String allowed) throws ProblemException {
    if (!method.equals(allowed)) {
      throw methodNotAllowed();
    }
  }

  static ProblemException methodNotAllowed() {
    return new ProblemException(405, "Method not allowed", "this path does not take this method");
  }

  private static Map<String, String> queryParameters(HttpExchange exchange) {
    Map<String, String> values = new HashMap<>();
    String raw = exchange.getRequestURI().getRawQuery();
    if (raw != null) {
      for (String part : raw.split("&")) {
        int equals = part.indexOf('=');
        if (equals > 0) {
          values.put(part.substring(0, equals), part.substring(equals + 1));
        }
      }
    }
    return values;
  }

  private static long numberParameter(Map<String, String> query, String name, long defaultValue)
      throws ProblemException {
    String value = query.get(name);
    if (value != null && !value.matches("[0-9]{1,18}")) {
      throw new ProblemException(400, "Bad request", name + " is not a number");
    }
    return value == null ? defaultValue : Long.parseLong(value);
  }
}

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

  private static final int GREATEST_BODY = 1 << 20;
  private static final int THREADS = 24;
  private static final int WAITING = 64;
  private static final int MOST_POLLS = 16;
  private static final int MOST_POLLS_OF_ONE = 4;
  private static final long LONGEST_POLL_MS = 60_000;
  private static final int MOST_ANSWERS_KEPT = 1000;
  private static final long LONGEST_OVERLAP_MS = 30L * 24 * 3600 * 1000;

  /**
   * Seconds in which a request must have been sent and its answer been taken: slow ones are cut
   * off.
   */
  private static final String MOST_SECONDS = "10";

  /** An answer that a POST with an Idempotency-Key had, and what it was asked. */
  private record Kept(String asked, AdminResponse answer) {}

  private final HttpServer server;
  private final ThreadPoolExecutor threads;
  private final DocumentStore store;
  private final TenantAdministration tenancy;
  private final AdminTokens tokens;
  private final FleetResource fleet;
  private final EventLog log;
  private final Semaphore polls = new Semaphore(MOST_POLLS);
  private final Map<String, Integer> pollsOf =
      new ConcurrentHashMap<>(); // those that wait, by token
  private final Map<String, Kept> kept = new LinkedHashMap<>();

  public AdminServer(
      InetSocketAddress listen,
      DocumentStore store,
      TenantAdministration tenancy,
      AdminTokens tokens,
      FleetResource fleet,
      EventLog log)
      throws IOException {
    System.setProperty("sun.net.httpserver.maxReqTime", MOST_SECONDS);
    System.setProperty("sun.net.httpserver.maxRspTime", "90");
    System.setProperty(
        "sun.net.httpserver.nodelay", "true"); // else each answer waits 40 ms for an ACK
    this.store = store;
    this.tenancy = tenancy;
    this.tokens = tokens;
    this.fleet = fleet;
    this.log = log;
    server = HttpServer.create(listen, 64);
    threads =
        new ThreadPoolExecutor(
            THREADS,
            THREADS,
            60,
            TimeUnit.SECONDS,
            new ArrayBlockingQueue<>(WAITING),
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
      AdminResponse answer;
      try {
        answer = route(exchange);
      } catch (ProblemException e) {
        Map<String, String> headers =
            e.status() == 401
                ? Map.of("WWW-Authenticate", "Bearer")
                : e.status() == 429 ? Map.of("Retry-After", "1") : Map.of();
        answer = new AdminResponse(e.status(), e.body(), headers);
      } catch (RuntimeException e) {
        log.println("admin fault " + e);
        answer =
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
              answer.status() >= 400 ? "application/problem+json" : "application/json");
      exchange.getResponseHeaders().set("Cache-Control", "no-store");
      answer.headers().forEach(exchange.getResponseHeaders()::set);
      byte[] body =
          answer.body() == null
              ? new byte[0]
              : TenantSpecCodec.JSON.writeValueAsBytes(answer.body());
      exchange.sendResponseHeaders(answer.status(), body.length == 0 ? -1 : body.length);
      exchange.getResponseBody().write(body);
    }
  }

  private AdminResponse route(HttpExchange exchange)
      throws ProblemException, IOException, InterruptedException {
    Caller caller = caller(exchange);
    byte[] body = exchange.getRequestBody().readNBytes(GREATEST_BODY + 1);
    if (body.length > GREATEST_BODY) {
      throw new ProblemException(413, "Too large", "a body may have " + GREATEST_BODY + " bytes");
    }
    String path = exchange.getRequestURI().getRawPath();
    String[] parts = path.split("/", -1);
    for (int i = 1; i < parts.length; i++) {
      // An encoded slash or dot is no name here, so that no path means anything but what it says.
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
      return call(exchange, caller, method, parts, body);
    }
    if (!key.matches("[ -~]{1,200}")) {
      throw new ProblemException(
          400, "Bad request", "Idempotency-Key is 1 to 200 printable characters");
    }
    String asked = path + " " + Arrays.toString(ApiKeys.hash(body));
    synchronized (kept) { // one at a time: the second of two with one key finds the first's answer
      Kept before = kept.get(caller.token() + " " + key);
      if (before == null) {
        AdminResponse answer = call(exchange, caller, method, parts, body);
        kept.put(caller.token() + " " + key, new Kept(asked, answer));
        if (kept.size() > MOST_ANSWERS_KEPT) {
          kept.remove(kept.keySet().iterator().next());
        }
        return answer;
      }
      if (!before.asked().equals(asked)) {
        throw new ProblemException(
            422, "Key used before", "this Idempotency-Key came with another request");
      }
      return before.answer();
    }
  }

  private Caller caller(HttpExchange exchange) throws ProblemException {
    String given = exchange.getRequestHeaders().getFirst("Authorization");
    Caller caller =
        given == null || !given.startsWith("Bearer ")
            ? null
            : tokens.authenticate(given.substring(7));
    if (caller == null) {
      throw new ProblemException(401, "Not authorized", "a valid token is needed");
    }
    return caller;
  }

  private AdminResponse call(
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
          only(method, "GET");
          return audit(caller, query(exchange));
        }
        case "changes" -> {
          only(method, "GET");
          return changes(caller, query(exchange));
        }
        case "tokens" -> {
          return token(caller, method, parts, body);
        }
        case "export" -> {
          only(method, "GET");
          operator(caller);
          return AdminResponse.of(200, store.export());
        }
        case "subjects" -> {
          operator(caller);
          return fleet.subjects(method, parts, body);
        }
        case "distribution" -> {
          operator(caller);
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
          present == null ? null : shown(present));
    }
  }

  // ---- Tenants
  // --------------------------------------------------------------------------------

  private AdminResponse tenants(Caller caller, String method, byte[] body)
      throws ProblemException, SpecException, ConflictException, OperatorException {
    if (method.equals("POST")) {
      operator(caller);
      JsonNode document = TenantSpecCodec.parse(body);
      String id = document.path("id").asText();
      if (tenancy.get(id) != null) {
        throw new ProblemException(409, "Exists", "there is a tenant of this name", "/id", null);
      }
      return written(201, id, tenancy.put(id, 0, document, caller.token(), "create"), document);
    }
    only(method, "GET");
    ArrayNode list = TenantSpecCodec.JSON.createArrayNode();
    tenancy.all().stream().filter(e -> caller.maySee(e.name())).forEach(e -> list.add(shown(e)));
    ObjectNode answer = TenantSpecCodec.JSON.createObjectNode().put("revision", tenancy.revision());
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
    Entry entry = tenancy.get(id);
    boolean create = method.equals("PUT") && parts.length == 4 && caller.isOperator();
    if (entry == null && !create) {
      throw ProblemException.notFound();
    }
    if (parts.length == 4) {
      switch (method) {
        case "GET" -> {
          return new AdminResponse(200, shown(entry), Map.of("ETag", tag(entry.revision())));
        }
        case "PUT" -> {
          long expected = expected(exchange, entry);
          JsonNode document = TenantSpecCodec.parse(body);
          if (!caller.isOperator()) {
            sameBounds(entry.document(), document);
          }
          long revision = tenancy.put(id, expected, document, caller.token(), "change");
          return written(entry == null ? 201 : 200, id, revision, document);
        }
        case "DELETE" -> {
          operator(caller);
          long revision = tenancy.remove(id, expected(exchange, entry), caller.token());
          return AdminResponse.of(
              202, TenantSpecCodec.JSON.createObjectNode().put("id", id).put("revision", revision));
        }
        default -> throw noMethod();
      }
    }
    if (parts.length == 5 && parts[4].equals("boxes")) {
      only(method, "GET");
      return boxes(entry);
    }
    if (parts.length == 5 && parts[4].equals("usage")) {
      only(method, "GET");
      return usage(id);
    }
    if (parts.length == 7 && parts[4].equals("boxes") && parts[6].equals("drain")) {
      if (!method.equals("POST") && !method.equals("DELETE")) {
        throw noMethod();
      }
      long revision = tenancy.drain(id, parts[5], method.equals("POST"), caller.token());
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

  /** Clients' keys: listed by their names, made here and shown once, ended. */
  private AdminResponse keys(Entry entry, Caller caller, String method, String[] parts, byte[] body)
      throws ProblemException, SpecException, ConflictException, OperatorException {
    if (parts.length == 6) {
      only(method, "DELETE");
      long revision = tenancy.revokeKey(entry.name(), parts[5], caller.token());
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
      TenantAdministration.CreatedKey made =
          tenancy.createKey(entry.name(), user.asText(), caller.token());
      if (made == null) {
        throw ProblemException.notFound();
      }
      return AdminResponse.of(
          201,
          TenantSpecCodec.JSON
              .createObjectNode()
              .put("id", made.id())
              .put("user", user.asText())
              .put("key", made.key())
              .put("revision", made.revision()));
    }
    only(method, "GET");
    ObjectNode answer = TenantSpecCodec.JSON.createObjectNode().put("revision", entry.revision());
    ArrayNode list = answer.putArray("keys");
    entry
        .document()
        .path("credentials")
        .forEach(
            c ->
                list.addObject()
                    .put("id", TenantAdministration.keyId(c.path("sha256").asText()))
                    .put("user", c.path("user").asText()));
    return AdminResponse.of(200, answer);
  }

  /** The revision that If-Match names; 0 by "If-None-Match: *" for one that is to be new. */
  private static long expected(HttpExchange exchange, Entry entry) throws ProblemException {
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
          entry == null ? null : shown(entry));
    }
    return Long.parseLong(match.substring(1, match.length() - 1));
  }

  /** What a tenant has of the gateway is the operators' to give. */
  private static void sameBounds(JsonNode before, JsonNode after) throws ProblemException {
    for (String field : new String[] {"weight", "limits"}) {
      if (!before.path(field).equals(after.path(field))) {
        throw new ProblemException(
            403, "Not allowed", "only an operator may change this", "/" + field, null);
      }
    }
  }

  private static AdminResponse written(int status, String id, long revision, JsonNode document) {
    return new AdminResponse(
        status, shown(new Entry(id, revision, document)), Map.of("ETag", tag(revision)));
  }

  private static ObjectNode shown(Entry entry) {
    ObjectNode shown = TenantSpecCodec.JSON.createObjectNode().put("revision", entry.revision());
    shown.set("tenant", entry.document());
    return shown;
  }

  private static String tag(long revision) {
    return "\"" + revision + "\"";
  }

  private static AdminResponse boxes(Entry entry) {
    ObjectNode answer = TenantSpecCodec.JSON.createObjectNode().put("revision", entry.revision());
    JsonNode boxes = entry.document().path("boxes");
    answer.set(
        "source",
        boxes.has("discovery")
            ? boxes.path("discovery")
            : TenantSpecCodec.JSON.getNodeFactory().textNode("list"));
    ArrayNode list = answer.putArray("boxes");
    boxes.path("list").forEach(b -> list.add(b.deepCopy()));
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
      usage = tenancy.usage(id).get(5, TimeUnit.SECONDS);
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

  // ---- The rest
  // --------------------------------------------------------------------------------

  private AdminResponse audit(Caller caller, Map<String, String> query) throws ProblemException {
    ObjectNode answer = TenantSpecCodec.JSON.createObjectNode().put("revision", store.revision());
    ArrayNode list = answer.putArray("entries");
    store.auditEntries(number(query, "after", 0), 1000).stream()
        .filter(a -> caller.isOperator() || a.kind() == Kind.TENANT && caller.maySee(a.name()))
        .forEach(a -> list.add(shown(a)));
    return AdminResponse.of(200, answer);
  }

  private static ObjectNode shown(AuditEntry a) {
    return TenantSpecCodec.JSON
        .createObjectNode()
        .put("revision", a.revision())
        .put("before", a.previousRevision())
        .put("at", a.atMillis())
        .put("who", a.actor())
        .put("what", a.action())
        .put("kind", a.kind().name().toLowerCase(Locale.ROOT))
        .put("name", a.name());
  }

  private AdminResponse changes(Caller caller, Map<String, String> query)
      throws ProblemException, InterruptedException {
    long after = number(query, "after", 0);
    String wait = query.getOrDefault("wait", "0s");
    if (!wait.matches("[0-9]{1,4}(ms|s)")) {
      throw new ProblemException(400, "Bad request", "wait is a number of s or ms");
    }
    long millis =
        wait.endsWith("ms")
            ? Long.parseLong(wait.substring(0, wait.length() - 2))
            : 1000 * Long.parseLong(wait.substring(0, wait.length() - 1));
    boolean mayWait = pollsOf.merge(caller.token(), 1, Integer::sum) <= MOST_POLLS_OF_ONE;
    if (!mayWait || !polls.tryAcquire()) {
      pollEnds(caller);
      throw new ProblemException(
          429,
          "Too many polls",
          "at most "
              + MOST_POLLS_OF_ONE
              + " of one token may wait at a time,"
              + " and "
              + MOST_POLLS
              + " of all");
    }
    try {
      ObjectNode answer = TenantSpecCodec.JSON.createObjectNode();
      ArrayNode list = answer.putArray("changes");
      for (AuditEntry a :
          tenancy.changes(after, Math.min(LONGEST_POLL_MS, millis), caller.tenant())) {
        ObjectNode change =
            list.addObject()
                .put("revision", a.revision())
                .put("id", a.name())
                .put("what", a.action());
        long at = tenancy.inForceAtMillis(a.revision());
        if (at > 0) {
          change.put("inForce", at);
        }
      }
      return AdminResponse.of(200, answer);
    } finally {
      polls.release();
      pollEnds(caller);
    }
  }

  private void pollEnds(Caller caller) {
    pollsOf.computeIfPresent(caller.token(), (token, count) -> count == 1 ? null : count - 1);
  }

  private AdminResponse token(Caller caller, String method, String[] parts, byte[] body)
      throws ProblemException, SpecException, ConflictException, OperatorException {
    operator(caller);
    if (parts.length == 3 && method.equals("POST")) {
      JsonNode asked = TenantSpecCodec.parse(body);
      JsonNode tenant = asked.path("tenant");
      if (!tenant.isMissingNode()
          && !tenant.isNull()
          && (!tenant.isTextual() || tenancy.get(tenant.asText()) == null)) {
        throw new ProblemException(
            422, "Not a valid document", "there is no such tenant", "/tenant", null);
      }
      return AdminResponse.of(201, secret(tokens.create(tenant.asText(null), caller.token())));
    }
    if (parts.length == 5 && parts[4].equals("rotate") && method.equals("POST")) {
      long overlap =
          body.length == 0
              ? 0
              : TenantSpecCodec.parse(body).path("overlapSeconds").asLong(0) * 1000;
      String rotated =
          tokens.rotate(
              parts[3], Math.max(0, Math.min(LONGEST_OVERLAP_MS, overlap)), caller.token());
      if (rotated == null) {
        throw ProblemException.notFound();
      }
      return AdminResponse.of(200, secret(rotated));
    }
    if (parts.length == 4 && method.equals("DELETE")) {
      if (!tokens.revoke(parts[3], caller.token())) {
        throw ProblemException.notFound();
      }
      return AdminResponse.of(204, null);
    }
    throw parts.length > 5 ? ProblemException.notFound() : noMethod();
  }

  private static ObjectNode secret(String token) {
    return TenantSpecCodec.JSON
        .createObjectNode()
        .put("id", token.substring(0, token.indexOf('.')))
        .put("token", token);
  }

  /** To a tenant's administrator, what is the operators' does not exist. */
  private static void operator(Caller caller) throws ProblemException {
    if (!caller.isOperator()) {
      throw ProblemException.notFound();
    }
  }

  static void only(String method, String allowed) throws ProblemException {
    if (!method.equals(allowed)) {
      throw noMethod();
    }
  }

  static ProblemException noMethod() {
    return new ProblemException(405, "Method not allowed", "this path does not take this method");
  }

  private static Map<String, String> query(HttpExchange exchange) {
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

  private static long number(Map<String, String> query, String name, long absent)
      throws ProblemException {
    String value = query.get(name);
    if (value != null && !value.matches("[0-9]{1,18}")) {
      throw new ProblemException(400, "Bad request", name + " is not a number");
    }
    return value == null ? absent : Long.parseLong(value);
  }
}

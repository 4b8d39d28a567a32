package shelffront.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SpecVersion.VersionFlag;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;
import shelffront.multitenant.MultiTenantConfig;
import shelffront.multitenant.MultiTenantGateway;
import shelffront.pg.Message;
import shelffront.store.DocumentStore.AuditEntry;
import shelffront.store.DocumentStore.Kind;

/**
 * Tests the administration API of a running gateway over HTTP. Every response is validated against
 * docs/openapi.json.
 */
class AdminTest {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String SECRET = "harbour-secret-weight"; // Only in tenant harbour.
  private static MultiTenantGateway gateway;
  private static Thread gatewayThread;
  private static String operatorToken;
  private static String airportToken;
  private static JsonNode openapi;
  private static final HttpClient CLIENT =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  @BeforeContainer
  static void start() throws Exception {
    openapi = JSON.readTree(Path.of("../docs/openapi.json").toFile());
    ObjectNode config =
        JSON.createObjectNode().put("listen", "127.0.0.1:0").put("admin", "127.0.0.1:0");
    gateway = new MultiTenantGateway(MultiTenantConfig.read(config), line -> {});
    gatewayThread = gateway.start();
    operatorToken = gateway.tokens().create(null, "test");
    assertEquals(201, call("POST", "/v1/tenants", operatorToken, tenant("airport")).statusCode());
    ObjectNode harbour = tenant("harbour");
    ((ObjectNode) harbour.path("hosts")).put("database", SECRET);
    assertEquals(201, call("POST", "/v1/tenants", operatorToken, harbour).statusCode());
    airportToken = gateway.tokens().create("airport", "test");
  }

  @AfterContainer
  static void stop() throws Exception {
    gateway.drain();
    gatewayThread.join(30_000);
    assertFalse(gatewayThread.isAlive());
  }

  private static ObjectNode tenant(String id) {
    ObjectNode tenant = JSON.createObjectNode().put("id", id).put("weight", 1);
    tenant
        .putArray("classes")
        .addObject()
        .put("name", "read")
        .put("giveUpMs", 1000)
        .put("read", "any");
    tenant.putObject("hosts").put("database", "maps");
    tenant
        .putObject("boxes")
        .putArray("list")
        .addObject()
        .put("id", "s-1")
        .put("address", "127.0.0.1:9")
        .put("role", "primary");
    return tenant;
  }

  private static HttpResponse<String> call(
      String method, String path, String token, Object body, String... headers) throws Exception {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(
                URI.create("http://127.0.0.1:" + gateway.adminAddress().getPort() + path))
            .method(
                method,
                body == null ? BodyPublishers.noBody() : BodyPublishers.ofString(body.toString()));
    if (token != null) {
      request.header("Authorization", "Bearer " + token);
    }
    if (headers.length > 0) {
      request.headers(headers);
    }
    HttpResponse<String> answer = CLIENT.send(request.build(), BodyHandlers.ofString());
    assertDescribedInOpenApi(method, path, answer);
    return answer;
  }

  /**
   * Asserts that the description lists the status for the path and method, and that the body is
   * valid under the schema given there.
   */
  private static void assertDescribedInOpenApi(
      String method, String path, HttpResponse<String> answer) throws Exception {
    String pathWithoutQuery = path.split("\\?")[0];
    for (var each : openapi.path("paths").properties()) {
      if (pathWithoutQuery.matches(each.getKey().replaceAll("\\{[a-z]+}", "[^/]+"))
          && each.getValue().has(method.toLowerCase(Locale.ROOT))) {
        JsonNode responses =
            each.getValue().path(method.toLowerCase(Locale.ROOT)).path("responses");
        JsonNode response = responses.path(Integer.toString(answer.statusCode()));
        if (response.isMissingNode()) {
          assertTrue(
              answer.statusCode() >= 400 && responses.has("default"),
              method
                  + " "
                  + path
                  + " responds with "
                  + answer.statusCode()
                  + ", which is not described");
          response = responses.path("default");
        }
        JsonNode content = response.path("content");
        if (content.isMissingNode()) {
          assertEquals("", answer.body());
          return;
        }
        var type = content.properties().iterator().next();
        assertEquals(type.getKey(), answer.headers().firstValue("Content-Type").orElse(""));
        ObjectNode schema = type.getValue().path("schema").deepCopy();
        schema.set("components", openapi.path("components"));
        JsonSchema compiled = JsonSchemaFactory.getInstance(VersionFlag.V202012).getSchema(schema);
        assertEquals(
            Set.of(), compiled.validate(JSON.readTree(answer.body())), method + " " + path);
        return;
      }
    }
    assertTrue(
        answer.statusCode() >= 400,
        method + " " + path + " is not described, but responds with " + answer.statusCode());
  }

  private static JsonNode json(HttpResponse<String> answer) throws Exception {
    return JSON.readTree(answer.body());
  }

  private static String entityTag(String id) throws Exception {
    return call("GET", "/v1/tenants/" + id, operatorToken, null)
        .headers()
        .firstValue("ETag")
        .orElseThrow();
  }

  @Example
  void changeWithoutCurrentRevisionIsRejected() throws Exception {
    assertEquals(201, call("POST", "/v1/tenants", operatorToken, tenant("need")).statusCode());
    assertEquals(428, call("PUT", "/v1/tenants/need", operatorToken, tenant("need")).statusCode());
    assertEquals(428, call("DELETE", "/v1/tenants/need", operatorToken, null).statusCode());
    String entityTag = entityTag("need");
    assertEquals(
        200,
        call(
                "PUT",
                "/v1/tenants/need",
                operatorToken,
                tenant("need").put("weight", 2),
                "If-Match",
                entityTag)
            .statusCode());
    HttpResponse<String> late =
        call("PUT", "/v1/tenants/need", operatorToken, tenant("need"), "If-Match", entityTag);
    assertEquals(412, late.statusCode());
    assertEquals(
        2,
        json(late).path("present").path("tenant").path("weight").asInt(),
        "the response holds the current document");
    assertEquals(
        202,
        call("DELETE", "/v1/tenants/need", operatorToken, null, "If-Match", entityTag("need"))
            .statusCode());
    assertEquals(404, call("GET", "/v1/tenants/need", operatorToken, null).statusCode());
  }

  /**
   * Two administrators make 1,000 changes each. Every change increments the same field, so a lost
   * update makes the final value smaller than 2,000.
   */
  @Example
  void concurrentChangesOfTwoAdministratorsAreNotLost() throws Exception {
    assertEquals(
        201,
        call("POST", "/v1/tenants", operatorToken, tenant("both").put("graceMs", 0)).statusCode());
    long created =
        json(call("GET", "/v1/tenants/both", operatorToken, null)).path("revision").asLong();
    AtomicInteger conflicts = new AtomicInteger();
    List<CompletableFuture<Void>> administrators = new ArrayList<>();
    for (int a = 0; a < 2; a++) {
      administrators.add(
          CompletableFuture.runAsync(
              () -> {
                try {
                  for (int done = 0; done < 1000; ) {
                    HttpResponse<String> seen =
                        call("GET", "/v1/tenants/both", operatorToken, null);
                    ObjectNode next = (ObjectNode) json(seen).path("tenant");
                    next.put("graceMs", next.path("graceMs").asInt() + 1);
                    int status =
                        call(
                                "PUT",
                                "/v1/tenants/both",
                                operatorToken,
                                next,
                                "If-Match",
                                seen.headers().firstValue("ETag").orElseThrow())
                            .statusCode();
                    assertTrue(status == 200 || status == 412, status + "");
                    done += status == 200 ? 1 : 0;
                    conflicts.addAndGet(status == 412 ? 1 : 0);
                  }
                } catch (Exception e) {
                  throw new IllegalStateException(e);
                }
              }));
    }
    for (CompletableFuture<Void> each : administrators) {
      each.get(120, TimeUnit.SECONDS);
    }
    JsonNode last = json(call("GET", "/v1/tenants/both", operatorToken, null));
    assertEquals(2000, last.path("tenant").path("graceMs").asInt());
    List<AuditEntry> auditEntries =
        gateway.store().auditEntries(created, 10_000).stream()
            .filter(x -> x.name().equals("both"))
            .toList();
    assertEquals(2000, auditEntries.size());
    long before = created;
    for (AuditEntry each : auditEntries) {
      assertEquals(before, each.previousRevision(), "each change names the previous revision");
      before = each.revision();
    }
    assertTrue(
        conflicts.get() > 0,
        "the administrators never changed the same revision, so nothing was tested");
  }

  @Example
  void changeComesIntoForceWithoutRestart() throws Exception {
    long revision =
        json(call("POST", "/v1/tenants", operatorToken, tenant("soon"))).path("revision").asLong();
    JsonNode changes =
        json(call("GET", "/v1/changes?after=" + (revision - 1) + "&wait=30s", operatorToken, null));
    assertEquals(revision, changes.path("changes").path(0).path("revision").asLong());
    assertTrue(changes.path("changes").path(0).path("inForce").asLong() > 0);
    assertEquals("Z", connect("soon"), "clients of the new tenant are accepted");
    assertEquals(
        202,
        call("DELETE", "/v1/tenants/soon", operatorToken, null, "If-Match", entityTag("soon"))
            .statusCode());
    call("GET", "/v1/changes?after=" + revision + "&wait=30s", operatorToken, null);
    assertEquals("3D000", connect("soon"));
  }

  /** Returns Z if the gateway accepts a client for the database, else the SQLSTATE of the error. */
  private static String connect(String database) throws Exception {
    try (Socket socket =
        new Socket(InetAddress.getLoopbackAddress(), gateway.address().getPort())) {
      socket.setSoTimeout(10_000);
      socket.getOutputStream().write(Message.startup("api", database));
      DataInputStream in = new DataInputStream(socket.getInputStream());
      while (true) {
        int type = in.readUnsignedByte();
        byte[] body = in.readNBytes(in.readInt() - 4);
        String text = new String(body, StandardCharsets.ISO_8859_1);
        if (type == 'R' && body[3] == 3) {
          socket.getOutputStream().write(new Message('p', "guess\0".getBytes()).bytes());
        } else if (type == 'E') {
          return text.substring(text.indexOf("\0C") + 2, text.indexOf("\0C") + 7);
        } else if (type == 'Z') {
          return "Z";
        }
      }
    }
  }

  @Example
  void invalidDocumentIsRejectedWithPointerToField() throws Exception {
    ObjectNode bad = tenant("bad");
    ((ObjectNode) bad.path("classes").path(0)).put("giveUpMs", -5);
    HttpResponse<String> answer = call("POST", "/v1/tenants", operatorToken, bad);
    assertEquals(422, answer.statusCode());
    assertEquals(
        "/classes/0/giveUpMs", json(answer).path("errors").path(0).path("pointer").asText());
    assertEquals(400, call("POST", "/v1/tenants", operatorToken, "{\"id\":").statusCode());
    assertEquals(
        400,
        call("POST", "/v1/tenants", operatorToken, "{\"id\":\"a\",\"id\":\"b\"}").statusCode());
    assertEquals(
        413, call("POST", "/v1/tenants", operatorToken, "x".repeat((1 << 20) + 1)).statusCode());
    assertEquals(405, call("PATCH", "/v1/tenants/airport", operatorToken, null).statusCode());
  }

  @Example
  void repeatedPostWithSameIdempotencyKeyIsExecutedOnce() throws Exception {
    ObjectNode tenant = tenant("once");
    HttpResponse<String> first =
        call("POST", "/v1/tenants", operatorToken, tenant, "Idempotency-Key", "k1");
    HttpResponse<String> again =
        call("POST", "/v1/tenants", operatorToken, tenant, "Idempotency-Key", "k1");
    assertEquals(201, first.statusCode());
    assertEquals(first.body(), again.body());
    assertEquals(201, again.statusCode());
    assertEquals(
        422,
        call("POST", "/v1/tenants", operatorToken, tenant("twice"), "Idempotency-Key", "k1")
            .statusCode());
  }

  @Example
  void rotatedTokenStaysValidForOverlapAndRevokedTokenIsRejected() throws Exception {
    JsonNode made = json(call("POST", "/v1/tokens", operatorToken, "{\"tenant\":\"airport\"}"));
    String id = made.path("id").asText();
    String old = made.path("token").asText();
    String next =
        json(call("POST", "/v1/tokens/" + id + "/rotate", operatorToken, "{\"overlapSeconds\":60}"))
            .path("token")
            .asText();
    assertEquals(200, call("GET", "/v1/tenants/airport", old, null).statusCode());
    assertEquals(200, call("GET", "/v1/tenants/airport", next, null).statusCode());
    String last =
        json(call("POST", "/v1/tokens/" + id + "/rotate", operatorToken, "{}"))
            .path("token")
            .asText();
    assertEquals(401, call("GET", "/v1/tenants/airport", next, null).statusCode());
    assertEquals(204, call("DELETE", "/v1/tokens/" + id, operatorToken, null).statusCode());
    assertEquals(401, call("GET", "/v1/tenants/airport", last, null).statusCode());
    assertFalse(
        gateway.store().export().toString().contains(old.substring(old.indexOf('.') + 1)),
        "the store must hold only a hash of the secret");
  }

  @Example
  void tenantAdministratorDrainsOnlyEndpointsOfItsOwnTenant() throws Exception {
    assertEquals(
        200, call("POST", "/v1/tenants/airport/boxes/s-1/drain", airportToken, null).statusCode());
    assertEquals(
        "s-1",
        json(call("GET", "/v1/tenants/airport/boxes", airportToken, null))
            .path("drained")
            .path(0)
            .asText());
    assertEquals(
        200,
        call("DELETE", "/v1/tenants/airport/boxes/s-1/drain", airportToken, null).statusCode());
    HttpResponse<String> other =
        call("POST", "/v1/tenants/harbour/boxes/s-1/drain", airportToken, null);
    HttpResponse<String> none =
        call("POST", "/v1/tenants/nobody/boxes/s-1/drain", airportToken, null);
    assertEquals(404, other.statusCode());
    assertEquals(
        none.body(), other.body(), "the response must not reveal whether the tenant exists");
    assertEquals(
        403,
        call(
                "PUT",
                "/v1/tenants/airport",
                airportToken,
                tenant("airport").put("weight", 900),
                "If-Match",
                entityTag("airport"))
            .statusCode());
    assertEquals(1, json(call("GET", "/v1/tenants", airportToken, null)).path("tenants").size());
    assertNotNull(
        json(call("GET", "/v1/tenants/airport/usage", airportToken, null)).path("counters"));
    for (JsonNode entry : json(call("GET", "/v1/audit", airportToken, null)).path("entries")) {
      assertEquals("airport", entry.path("name").asText());
    }
  }

  @Example
  void tokenOfOneMegabyteIsRejected() throws Exception {
    // The server may close the connection or respond with an error; both reject the caller.
    try (Socket socket =
        new Socket(InetAddress.getLoopbackAddress(), gateway.adminAddress().getPort())) {
      socket.setSoTimeout(10_000);
      String head =
          "GET /v1/tenants HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
              + "a".repeat(1 << 20)
              + "\r\nConnection: close\r\n\r\n";
      String answer = "";
      try {
        socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
        answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      } catch (IOException e) {
        answer = ""; // The server reset the connection while the request was still being sent.
      }
      assertTrue(answer.isEmpty() || answer.startsWith("HTTP/1.1 4"), answer);
    }
  }

  @Provide
  Arbitrary<String> paths() {
    Arbitrary<String> part =
        Arbitraries.of(
            "v1",
            "tenants",
            "harbour",
            "airport",
            "boxes",
            "s-1",
            "drain",
            "usage",
            "audit",
            "changes",
            "tokens",
            "export",
            "..",
            ".",
            "%2e%2e",
            "%2F",
            "harbour%2F..%2Fairport",
            "",
            "%00",
            "airport%2f..%2fharbour",
            ";",
            "harbour;x",
            "HARBOUR");
    return part.list().ofMinSize(1).ofMaxSize(7).map(parts -> "/" + String.join("/", parts));
  }

  @Provide
  Arbitrary<String> tokens() {
    return Combinators.combine(
            Arbitraries.integers().between(0, 6), Arbitraries.integers().between(0, 60))
        .as(
            (kind, at) ->
                switch (kind) {
                  case 0, 1 -> airportToken;
                  case 2 -> airportToken.substring(0, Math.min(airportToken.length() - 1, at));
                  case 3 -> airportToken + "x";
                  case 4 ->
                      airportToken.substring(0, airportToken.indexOf('.') + 1)
                          + operatorToken.substring(operatorToken.indexOf('.') + 1);
                  case 5 -> "." + airportToken;
                  default -> "x".repeat(at);
                });
  }

  /**
   * Guards against disclosure across tenants: no path, method or token of a tenant's administrator
   * or of an unknown caller may reveal or change anything of the other tenant.
   */
  @Property(tries = 600, seed = "42")
  void otherTenantIsNeitherDisclosedNorChanged(
      @ForAll("paths") String path,
      @ForAll("tokens") String token,
      @ForAll("methods") String method)
      throws Exception {
    HttpResponse<String> answer =
        call(
            method,
            path,
            token,
            method.equals("GET") ? null : tenant("airport"),
            "If-Match",
            "\"2\"");
    assertFalse(
        answer.body().contains(SECRET), path + " discloses another tenant: " + answer.body());
    assertFalse(answer.body().contains("harbour"), path + ": " + answer.body());
    if (!token.equals(airportToken)) {
      assertTrue(
          answer.statusCode() == 401 || answer.statusCode() == 400 || answer.statusCode() == 404,
          path + " responds with " + answer.statusCode());
    }
    assertEquals(
        SECRET,
        gateway
            .store()
            .get(Kind.TENANT, "harbour")
            .document()
            .path("hosts")
            .path("database")
            .asText());
    assertEquals(0, gateway.store().get(Kind.TENANT, "harbour").document().path("drained").size());
  }

  @Provide
  Arbitrary<String> methods() {
    return Arbitraries.of("GET", "PUT", "POST", "DELETE");
  }

  /**
   * A key is returned once, can be replaced while the previous one stays valid, and can be revoked
   * unless it is the last. Another tenant's administrator cannot revoke it.
   */
  @Example
  void clientKeysAreCreatedReplacedAndRevoked() throws Exception {
    assertEquals(201, call("POST", "/v1/tenants", operatorToken, tenant("keyed")).statusCode());
    String admin = gateway.tokens().create("keyed", "test");
    assertEquals(422, call("POST", "/v1/tenants/keyed/keys", admin, "{\"user\": 7}").statusCode());
    JsonNode first = json(call("POST", "/v1/tenants/keyed/keys", admin, "{\"user\": \"api\"}"));
    JsonNode second = json(call("POST", "/v1/tenants/keyed/keys", admin, "{\"user\": \"api\"}"));
    assertEquals(
        List.of(true, true, false),
        List.of(
            admitted(first),
            admitted(second),
            admitted(JSON.createObjectNode().put("key", "wrong"))));
    HttpResponse<String> list = call("GET", "/v1/tenants/keyed/keys", admin, null);
    assertEquals(2, json(list).path("keys").size());
    assertFalse(list.body().contains(first.path("key").asText()));
    String path = "/v1/tenants/keyed/keys/" + first.path("id").asText();
    assertEquals(404, call("DELETE", path, airportToken, null).statusCode());
    assertEquals(200, call("DELETE", path, admin, null).statusCode());
    assertEquals(404, call("DELETE", path, admin, null).statusCode());
    assertEquals(List.of(false, true), List.of(admitted(first), admitted(second)));
    assertEquals(
        422,
        call("DELETE", "/v1/tenants/keyed/keys/" + second.path("id").asText(), admin, null)
            .statusCode(),
        "revoking the last key would admit every client");
    assertTrue(admitted(second));
    assertEquals(
        404,
        call("POST", "/v1/tenants/nobody/keys", operatorToken, "{\"user\": \"api\"}").statusCode());
    assertEquals(405, call("PUT", "/v1/tenants/keyed/keys", admin, "{}").statusCode());
  }

  private static boolean admitted(JsonNode key) throws IOException {
    try (Socket socket =
        new Socket(InetAddress.getLoopbackAddress(), gateway.address().getPort())) {
      socket.setSoTimeout(20_000);
      DataInputStream in = new DataInputStream(socket.getInputStream());
      socket.getOutputStream().write(Message.startup("api", "keyed"));
      assertEquals('R', in.readUnsignedByte());
      in.skipNBytes(in.readInt() - 4);
      byte[] passwordBytes =
          (key.path("key").asText() + "\0").getBytes(StandardCharsets.ISO_8859_1);
      socket.getOutputStream().write(new Message('p', passwordBytes).bytes());
      return in.readUnsignedByte() == 'R';
    }
  }

  /** Guards against one token exhausting the server's threads with long polls. */
  @Example
  void pollsOfOneTokenLeaveThreadsForOtherTokens() throws Exception {
    List<CompletableFuture<HttpResponse<String>>> polls = new ArrayList<>();
    String pollingToken = gateway.tokens().create("harbour", "test");
    for (int i = 0; i < 12; i++) {
      HttpRequest request =
          HttpRequest.newBuilder(
                  URI.create(
                      "http://127.0.0.1:"
                          + gateway.adminAddress().getPort()
                          + "/v1/changes?after=999999&wait=2s"))
              .header("Authorization", "Bearer " + pollingToken)
              .build();
      polls.add(CLIENT.sendAsync(request, BodyHandlers.ofString()));
    }
    int rejectedPolls = 0;
    for (int i = 0; i < 8; i++) {
      rejectedPolls +=
          CompletableFuture.anyOf(polls.toArray(CompletableFuture[]::new))
                      .thenApply(a -> ((HttpResponse<?>) a).statusCode())
                      .get(20, TimeUnit.SECONDS)
                  == 429
              ? 1
              : 0;
      polls.removeIf(CompletableFuture::isDone);
      if (polls.size() <= 4) {
        break;
      }
    }
    assertTrue(rejectedPolls > 0, "no poll was rejected, so one token could occupy all threads");
    assertEquals(200, call("GET", "/v1/changes?after=0&wait=1s", airportToken, null).statusCode());
    for (CompletableFuture<HttpResponse<String>> each : polls) {
      assertTrue(Set.of(200, 429).contains(each.get(20, TimeUnit.SECONDS).statusCode()));
    }
  }
}

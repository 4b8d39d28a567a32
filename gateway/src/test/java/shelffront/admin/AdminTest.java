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
 * The administration of a running gateway, over HTTP; every answer is held against
 * docs/openapi.json.
 */
class AdminTest {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String SECRET = "harbour-secret-weight"; // Stands in the other tenant alone.
  private static MultiTenantGateway hosted;
  private static Thread turns;
  private static String operator;
  private static String own;
  private static JsonNode openapi;
  private static final HttpClient CLIENT =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  @BeforeContainer
  static void start() throws Exception {
    openapi = JSON.readTree(Path.of("../docs/openapi.json").toFile());
    ObjectNode config =
        JSON.createObjectNode().put("listen", "127.0.0.1:0").put("admin", "127.0.0.1:0");
    hosted = new MultiTenantGateway(MultiTenantConfig.read(config), line -> {});
    turns = hosted.start();
    operator = hosted.tokens().create(null, "test");
    assertEquals(201, call("POST", "/v1/tenants", operator, tenant("airport")).statusCode());
    ObjectNode harbour = tenant("harbour");
    ((ObjectNode) harbour.path("hosts")).put("database", SECRET);
    assertEquals(201, call("POST", "/v1/tenants", operator, harbour).statusCode());
    own = hosted.tokens().create("airport", "test");
  }

  @AfterContainer
  static void stop() throws Exception {
    hosted.drain();
    turns.join(30_000);
    assertFalse(turns.isAlive());
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
                URI.create("http://127.0.0.1:" + hosted.adminAddress().getPort() + path))
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
    describedInOpenApi(method, path, answer);
    return answer;
  }

  /**
   * Every status must be listed for its path and method, and the body must be of the schema named
   * there.
   */
  private static void describedInOpenApi(String method, String path, HttpResponse<String> answer)
      throws Exception {
    String bare = path.split("\\?")[0];
    for (var each : openapi.path("paths").properties()) {
      if (bare.matches(each.getKey().replaceAll("\\{[a-z]+}", "[^/]+"))
          && each.getValue().has(method.toLowerCase(Locale.ROOT))) {
        JsonNode responses =
            each.getValue().path(method.toLowerCase(Locale.ROOT)).path("responses");
        JsonNode response = responses.path(Integer.toString(answer.statusCode()));
        if (response.isMissingNode()) {
          assertTrue(
              answer.statusCode() >= 400 && responses.has("default"),
              method + " " + path + " answers " + answer.statusCode() + ", which is not described");
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
        method + " " + path + " is not described, yet answers " + answer.statusCode());
  }

  private static JsonNode json(HttpResponse<String> answer) throws Exception {
    return JSON.readTree(answer.body());
  }

  private static String tag(String id) throws Exception {
    return call("GET", "/v1/tenants/" + id, operator, null)
        .headers()
        .firstValue("ETag")
        .orElseThrow();
  }

  @Example
  void aChangeNeedsTheRevisionThatItIsFor() throws Exception {
    assertEquals(201, call("POST", "/v1/tenants", operator, tenant("need")).statusCode());
    assertEquals(428, call("PUT", "/v1/tenants/need", operator, tenant("need")).statusCode());
    assertEquals(428, call("DELETE", "/v1/tenants/need", operator, null).statusCode());
    String tag = tag("need");
    assertEquals(
        200,
        call("PUT", "/v1/tenants/need", operator, tenant("need").put("weight", 2), "If-Match", tag)
            .statusCode());
    HttpResponse<String> late =
        call("PUT", "/v1/tenants/need", operator, tenant("need"), "If-Match", tag);
    assertEquals(412, late.statusCode());
    assertEquals(
        2,
        json(late).path("present").path("tenant").path("weight").asInt(),
        "shows the present state");
    assertEquals(
        202,
        call("DELETE", "/v1/tenants/need", operator, null, "If-Match", tag("need")).statusCode());
    assertEquals(404, call("GET", "/v1/tenants/need", operator, null).statusCode());
  }

  /**
   * Two administrators, 1,000 changes each; every change adds one to a figure, so that a lost one
   * is missing.
   */
  @Example
  void noChangeOfTwoAdministratorsIsLost() throws Exception {
    assertEquals(
        201, call("POST", "/v1/tenants", operator, tenant("both").put("graceMs", 0)).statusCode());
    long created = json(call("GET", "/v1/tenants/both", operator, null)).path("revision").asLong();
    AtomicInteger lost = new AtomicInteger();
    List<CompletableFuture<Void>> administrators = new ArrayList<>();
    for (int a = 0; a < 2; a++) {
      administrators.add(
          CompletableFuture.runAsync(
              () -> {
                try {
                  for (int done = 0; done < 1000; ) {
                    HttpResponse<String> seen = call("GET", "/v1/tenants/both", operator, null);
                    ObjectNode next = (ObjectNode) json(seen).path("tenant");
                    next.put("graceMs", next.path("graceMs").asInt() + 1);
                    int status =
                        call(
                                "PUT",
                                "/v1/tenants/both",
                                operator,
                                next,
                                "If-Match",
                                seen.headers().firstValue("ETag").orElseThrow())
                            .statusCode();
                    assertTrue(status == 200 || status == 412, status + "");
                    done += status == 200 ? 1 : 0;
                    lost.addAndGet(status == 412 ? 1 : 0);
                  }
                } catch (Exception e) {
                  throw new IllegalStateException(e);
                }
              }));
    }
    for (CompletableFuture<Void> each : administrators) {
      each.get(120, TimeUnit.SECONDS);
    }
    JsonNode last = json(call("GET", "/v1/tenants/both", operator, null));
    assertEquals(2000, last.path("tenant").path("graceMs").asInt());
    List<AuditEntry> story =
        hosted.store().auditEntries(created, 10_000).stream()
            .filter(x -> x.name().equals("both"))
            .toList();
    assertEquals(2000, story.size());
    long before = created;
    for (AuditEntry each : story) {
      assertEquals(before, each.previousRevision(), "each follows the one before");
      before = each.revision();
    }
    assertTrue(lost.get() > 0, "the two never met");
  }

  @Example
  void aChangeIsInForceWithoutARestart() throws Exception {
    long revision =
        json(call("POST", "/v1/tenants", operator, tenant("soon"))).path("revision").asLong();
    JsonNode changes =
        json(call("GET", "/v1/changes?after=" + (revision - 1) + "&wait=30s", operator, null));
    assertEquals(revision, changes.path("changes").path(0).path("revision").asLong());
    assertTrue(changes.path("changes").path(0).path("inForce").asLong() > 0);
    assertEquals("Z", connect("soon"), "clients are taken in");
    assertEquals(
        202,
        call("DELETE", "/v1/tenants/soon", operator, null, "If-Match", tag("soon")).statusCode());
    call("GET", "/v1/changes?after=" + revision + "&wait=30s", operator, null);
    assertEquals("3D000", connect("soon"));
  }

  /** How a startup ends: Z where it is taken in, else the code of the error. */
  private static String connect(String database) throws Exception {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), hosted.address().getPort())) {
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
  void faultsAreNamedByTheirField() throws Exception {
    ObjectNode bad = tenant("bad");
    ((ObjectNode) bad.path("classes").path(0)).put("giveUpMs", -5);
    HttpResponse<String> answer = call("POST", "/v1/tenants", operator, bad);
    assertEquals(422, answer.statusCode());
    assertEquals(
        "/classes/0/giveUpMs", json(answer).path("errors").path(0).path("pointer").asText());
    assertEquals(400, call("POST", "/v1/tenants", operator, "{\"id\":").statusCode());
    assertEquals(
        400, call("POST", "/v1/tenants", operator, "{\"id\":\"a\",\"id\":\"b\"}").statusCode());
    assertEquals(
        413, call("POST", "/v1/tenants", operator, "x".repeat((1 << 20) + 1)).statusCode());
    assertEquals(405, call("PATCH", "/v1/tenants/airport", operator, null).statusCode());
  }

  @Example
  void aPostIsDoneOnceForItsKey() throws Exception {
    ObjectNode tenant = tenant("once");
    HttpResponse<String> first =
        call("POST", "/v1/tenants", operator, tenant, "Idempotency-Key", "k1");
    HttpResponse<String> again =
        call("POST", "/v1/tenants", operator, tenant, "Idempotency-Key", "k1");
    assertEquals(201, first.statusCode());
    assertEquals(first.body(), again.body());
    assertEquals(201, again.statusCode());
    assertEquals(
        422,
        call("POST", "/v1/tenants", operator, tenant("twice"), "Idempotency-Key", "k1")
            .statusCode());
  }

  @Example
  void tokensAreRotatedWithAnOverlapAndRevoked() throws Exception {
    JsonNode made = json(call("POST", "/v1/tokens", operator, "{\"tenant\":\"airport\"}"));
    String id = made.path("id").asText();
    String old = made.path("token").asText();
    String next =
        json(call("POST", "/v1/tokens/" + id + "/rotate", operator, "{\"overlapSeconds\":60}"))
            .path("token")
            .asText();
    assertEquals(200, call("GET", "/v1/tenants/airport", old, null).statusCode());
    assertEquals(200, call("GET", "/v1/tenants/airport", next, null).statusCode());
    String last =
        json(call("POST", "/v1/tokens/" + id + "/rotate", operator, "{}")).path("token").asText();
    assertEquals(401, call("GET", "/v1/tenants/airport", next, null).statusCode());
    assertEquals(204, call("DELETE", "/v1/tokens/" + id, operator, null).statusCode());
    assertEquals(401, call("GET", "/v1/tenants/airport", last, null).statusCode());
    assertFalse(
        hosted.store().export().toString().contains(old.substring(old.indexOf('.') + 1)),
        "only a hash");
  }

  @Example
  void aTenantsAdministratorDrainsItsOwnBoxesAndNoOthers() throws Exception {
    assertEquals(200, call("POST", "/v1/tenants/airport/boxes/s-1/drain", own, null).statusCode());
    assertEquals(
        "s-1",
        json(call("GET", "/v1/tenants/airport/boxes", own, null)).path("drained").path(0).asText());
    assertEquals(
        200, call("DELETE", "/v1/tenants/airport/boxes/s-1/drain", own, null).statusCode());
    HttpResponse<String> other = call("POST", "/v1/tenants/harbour/boxes/s-1/drain", own, null);
    HttpResponse<String> none = call("POST", "/v1/tenants/nobody/boxes/s-1/drain", own, null);
    assertEquals(404, other.statusCode());
    assertEquals(none.body(), other.body(), "no telling whether it exists");
    assertEquals(
        403,
        call(
                "PUT",
                "/v1/tenants/airport",
                own,
                tenant("airport").put("weight", 900),
                "If-Match",
                tag("airport"))
            .statusCode());
    assertEquals(1, json(call("GET", "/v1/tenants", own, null)).path("tenants").size());
    assertNotNull(json(call("GET", "/v1/tenants/airport/usage", own, null)).path("counters"));
    for (JsonNode entry : json(call("GET", "/v1/audit", own, null)).path("entries")) {
      assertEquals("airport", entry.path("name").asText());
    }
  }

  @Example
  void aTokenOfAMegabyteIsNoToken() throws Exception {
    // The server may end the connection or answer; either way nobody is let in.
    try (Socket socket =
        new Socket(InetAddress.getLoopbackAddress(), hosted.adminAddress().getPort())) {
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
        answer = ""; // reset while it was still being sent
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
                  case 0, 1 -> own;
                  case 2 -> own.substring(0, Math.min(own.length() - 1, at));
                  case 3 -> own + "x";
                  case 4 ->
                      own.substring(0, own.indexOf('.') + 1)
                          + operator.substring(operator.indexOf('.') + 1);
                  case 5 -> "." + own;
                  default -> "x".repeat(at);
                });
  }

  /**
   * Whatever a tenant's administrator or a stranger asks, nothing of the other tenant is told or
   * changed.
   */
  @Property(tries = 600, seed = "42")
  void nothingOfAnotherTenantLeaks(
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
        answer.body().contains(SECRET), path + " tells of another tenant: " + answer.body());
    assertFalse(answer.body().contains("harbour"), path + ": " + answer.body());
    if (!token.equals(own)) {
      assertTrue(
          answer.statusCode() == 401 || answer.statusCode() == 400 || answer.statusCode() == 404,
          path + " answers " + answer.statusCode());
    }
    assertEquals(
        SECRET,
        hosted
            .store()
            .get(Kind.TENANT, "harbour")
            .document()
            .path("hosts")
            .path("database")
            .asText());
    assertEquals(0, hosted.store().get(Kind.TENANT, "harbour").document().path("drained").size());
  }

  @Provide
  Arbitrary<String> methods() {
    return Arbitraries.of("GET", "PUT", "POST", "DELETE");
  }

  /**
   * A key is made, shown once, replaced without a gap and ended; another tenant's administrator
   * sees none of it.
   */
  @Example
  void keysOfClientsAreMadeAndEnded() throws Exception {
    assertEquals(201, call("POST", "/v1/tenants", operator, tenant("keyed")).statusCode());
    String admin = hosted.tokens().create("keyed", "test");
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
    assertEquals(404, call("DELETE", path, own, null).statusCode());
    assertEquals(200, call("DELETE", path, admin, null).statusCode());
    assertEquals(404, call("DELETE", path, admin, null).statusCode());
    assertEquals(List.of(false, true), List.of(admitted(first), admitted(second)));
    assertEquals(
        422,
        call("DELETE", "/v1/tenants/keyed/keys/" + second.path("id").asText(), admin, null)
            .statusCode(),
        "the last key's end would open the tenant to everybody");
    assertTrue(admitted(second));
    assertEquals(
        404, call("POST", "/v1/tenants/nobody/keys", operator, "{\"user\": \"api\"}").statusCode());
    assertEquals(405, call("PUT", "/v1/tenants/keyed/keys", admin, "{}").statusCode());
  }

  private static boolean admitted(JsonNode key) throws IOException {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), hosted.address().getPort())) {
      socket.setSoTimeout(20_000);
      DataInputStream in = new DataInputStream(socket.getInputStream());
      socket.getOutputStream().write(Message.startup("api", "keyed"));
      assertEquals('R', in.readUnsignedByte());
      in.skipNBytes(in.readInt() - 4);
      byte[] word = (key.path("key").asText() + "\0").getBytes(StandardCharsets.ISO_8859_1);
      socket.getOutputStream().write(new Message('p', word).bytes());
      return in.readUnsignedByte() == 'R';
    }
  }

  /** One token's polls leave places for others'. */
  @Example
  void oneAdministratorsPollsLeaveRoomForOthers() throws Exception {
    List<CompletableFuture<HttpResponse<String>>> polls = new ArrayList<>();
    String greedy = hosted.tokens().create("harbour", "test");
    for (int i = 0; i < 12; i++) {
      HttpRequest request =
          HttpRequest.newBuilder(
                  URI.create(
                      "http://127.0.0.1:"
                          + hosted.adminAddress().getPort()
                          + "/v1/changes?after=999999&wait=2s"))
              .header("Authorization", "Bearer " + greedy)
              .build();
      polls.add(CLIENT.sendAsync(request, BodyHandlers.ofString()));
    }
    int refused = 0;
    for (int i = 0; i < 8; i++) {
      refused +=
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
    assertTrue(refused > 0, "one token may take all places");
    assertEquals(200, call("GET", "/v1/changes?after=0&wait=1s", own, null).statusCode());
    for (CompletableFuture<HttpResponse<String>> each : polls) {
      assertTrue(Set.of(200, 429).contains(each.get(20, TimeUnit.SECONDS).statusCode()));
    }
  }
}

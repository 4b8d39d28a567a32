package shelffront.tenant;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.PathType;
import com.networknt.schema.SchemaValidatorsConfig;
import com.networknt.schema.SpecVersion.VersionFlag;
import com.networknt.schema.ValidationMessage;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import shelffront.backend.BackendConnections.Login;
import shelffront.config.EndpointList;
import shelffront.config.GatewayConfig;
import shelffront.config.MalformedInputException;
import shelffront.routing.Availability;
import shelffront.routing.Consistency;
import shelffront.routing.ConsistencySettings;
import shelffront.routing.DeduplicationScope;
import shelffront.routing.Endpoint;
import shelffront.routing.EndpointListSettings;
import shelffront.routing.GatewayIdentity;
import shelffront.routing.Idempotency;
import shelffront.routing.LagCheck;
import shelffront.routing.ListedRoles;
import shelffront.routing.LoadReportSource;
import shelffront.routing.OperatingLimits;
import shelffront.routing.RequestClass;
import shelffront.routing.RoutingSettings;
import shelffront.routing.SafetyRules;

/**
 * Reads a tenant from JSON: checked against the schema {@code tenant.schema.json}, then for what no
 * schema says.
 */
public final class TenantSpecCodec {

  /** What is wrong with a document: a JSON pointer (RFC 6901) to the field at fault, and why. */
  public static final class SpecException extends Exception {

    private static final long serialVersionUID = 1L;

    private final String pointer;

    public SpecException(String pointer, String reason) {
      super(reason);
      this.pointer = pointer;
    }

    public String pointer() {
      return pointer;
    }
  }

  /** Refuses what JSON parsers differ on: names given twice, and anything after the document. */
  public static final ObjectMapper JSON =
      new ObjectMapper()
          .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

  /** What names of tenants, gateways and fleets look like, as a regular expression. */
  public static final String NAME = "[a-zA-Z0-9][a-zA-Z0-9_.-]{0,63}";

  private static final JsonSchema SCHEMA = schema();
  private static final long MS = 1000;

  private TenantSpecCodec() {}

  private static JsonSchema schema() {
    try (InputStream in =
        TenantSpecCodec.class.getResourceAsStream("/shelffront/tenant.schema.json")) {
      return JsonSchemaFactory.getInstance(VersionFlag.V202012)
          .getSchema(
              JSON.readTree(in),
              SchemaValidatorsConfig.builder().pathType(PathType.JSON_POINTER).build());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  public static JsonNode parse(byte[] text) throws SpecException {
    try {
      JsonNode document = JSON.readTree(text);
      if (document == null || !document.isObject()) {
        throw new SpecException("", "not a JSON object");
      }
      return document;
    } catch (JsonProcessingException e) {
      throw new SpecException("", "not JSON: " + e.getOriginalMessage());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Throws with the pointer to the first field of an object that has none of the names, which are
   * those of settings.
   */
  public static void onlyFields(JsonNode object, String at, Set<String> names)
      throws SpecException {
    for (Iterator<String> each = object.fieldNames(); each.hasNext(); ) {
      String name = each.next();
      if (!names.contains(name)) {
        throw new SpecException(at + "/" + name, "is not a setting");
      }
    }
  }

  /** Throws with the first fault, by the order of pointers. */
  public static TenantSpec read(JsonNode document) throws SpecException {
    ValidationMessage fault =
        SCHEMA.validate(document).stream()
            .min(Comparator.comparing(m -> m.getInstanceLocation().toString()))
            .orElse(null);
    if (fault != null) {
      throw new SpecException(fault.getInstanceLocation().toString(), fault.getError());
    }
    List<RequestClass> classes = new ArrayList<>();
    List<Double> shares = new ArrayList<>();
    Set<String> names = new HashSet<>();
    for (JsonNode c : document.path("classes")) {
      String at = "/classes/" + classes.size();
      if (!names.add(c.path("name").asText())) {
        throw new SpecException(at + "/name", "two classes have this name");
      }
      classes.add(classSettings(c, at));
      if (c.has("share")) {
        shares.add(c.path("share").asDouble());
      }
    }
    if (!shares.isEmpty() && shares.size() != classes.size()) {
      throw new SpecException("/classes", "either all classes have a share or none");
    }
    JsonNode limits = document.path("limits");
    double rate = limits.path("requestsPerSecond").asDouble(0);
    TenantSpec.Bounds bounds =
        new TenantSpec.Bounds(
            rate,
            limits.path("burst").asDouble(Math.max(1, rate / 5)),
            limits.path("openRequests").asInt(200),
            limits.path("clientConnections").asInt(100),
            limits.path("hostConnections").asInt(64),
            limits.path("bufferBytes").asLong(8L << 20));
    JsonNode hosts = document.path("hosts");
    JsonNode boxes = document.path("boxes");
    String id = document.path("id").asText();
    Set<String> drained = new HashSet<>();
    document.path("drained").forEach(d -> drained.add(d.asText()));
    List<TenantSpec.Credential> credentials = new ArrayList<>();
    document
        .path("credentials")
        .forEach(
            c ->
                credentials.add(
                    new TenantSpec.Credential(
                        c.path("user").asText(),
                        HexFormat.of().parseHex(c.path("sha256").asText()))));
    return new TenantSpec(
        id,
        document.path("weight").asDouble(1),
        shares.stream().mapToDouble(s -> s).toArray(),
        bounds,
        settings(classes, hosts, boxes.has("discovery")),
        new Login(hosts.path("user").asText("shelffront"), hosts.path("database").asText(id)),
        new TenantSpec.EndpointSource(
            boxes.has("discovery")
                ? address(boxes.path("discovery").asText(), "/boxes/discovery")
                : null,
            boxes.has("list") ? list(boxes.path("list")) : EndpointList.empty()),
        Set.copyOf(drained),
        List.copyOf(credentials),
        document.path("graceMs").asLong(5000) * MS);
  }

  private static RequestClass classSettings(JsonNode c, String at) throws SpecException {
    Consistency read = consistency(c.path("read").asText());
    String effect = c.path("effect").asText(read == Consistency.WRITE ? "once" : "repeatable");
    long giveUp = c.path("giveUpMs").asLong() * MS;
    long aim = c.path("aimMs").asLong(giveUp / MS) * MS;
    if (aim > giveUp) {
      throw new SpecException(at + "/aimMs", "is later than giveUpMs");
    }
    if (read == Consistency.WRITE && effect.equals("repeatable")) {
      throw new SpecException(at + "/effect", "a write can't be repeated without a key");
    }
    if (read != Consistency.WRITE && !effect.equals("repeatable")) {
      throw new SpecException(at + "/effect", "a read can always be repeated");
    }
    return new RequestClass(
        c.path("name").asText(),
        aim,
        giveUp,
        c.path("worth").asDouble(1),
        c.path("lateShare").asDouble(0),
        idempotency(effect),
        DeduplicationScope.REPLICA_SET,
        c.path("windowMs").asLong(0) * MS,
        read,
        c.path("boundMs").asLong(0) * MS);
  }

  /** The schema admits these words alone. */
  private static Consistency consistency(String read) {
    return switch (read) {
      case "write" -> Consistency.WRITE;
      case "fresh" -> Consistency.STRONG;
      case "session" -> Consistency.SESSION;
      case "bounded" -> Consistency.BOUNDED_STALENESS;
      case "any" -> Consistency.EVENTUAL;
      default -> throw new IllegalArgumentException("unknown kind of read: " + read);
    };
  }

  /** The schema admits these words alone. */
  private static Idempotency idempotency(String effect) {
    return switch (effect) {
      case "repeatable" -> Idempotency.IDEMPOTENT;
      case "keyed" -> Idempotency.IDEMPOTENCY_KEY;
      case "once" -> Idempotency.NON_IDEMPOTENT;
      default -> throw new IllegalArgumentException("unknown effect: " + effect);
    };
  }

  private static RoutingSettings settings(
      List<RequestClass> classes, JsonNode hosts, boolean asked) {
    LagCheck check =
        switch (hosts.path("check").asText("wait")) {
          case "silent" -> LagCheck.NONE;
          case "refuse" -> LagCheck.REJECT;
          default -> LagCheck.WAIT;
        };
    return new RoutingSettings(
        new GatewayIdentity(0, hosts.path("gateways").asInt(1), ""),
        MS,
        List.copyOf(classes),
        new ConsistencySettings(check, hosts.path("patienceMs").asLong(100) * MS, false, false),
        new EndpointListSettings(asked ? ListedRoles.LATE : ListedRoles.AT_START, asked),
        LoadReportSource.HEALTH_CHECKS,
        new SafetyRules(2_000 * MS, 0.21, 18_000 * MS, 4, 2_000 * MS, false, 10_000 * MS, 20 * MS),
        new OperatingLimits(
            hosts.path("attempts").asInt(8),
            2_000 * MS,
            true,
            true,
            false,
            true,
            false,
            hosts.path("connectTimeoutMs").asLong(250) * MS,
            hosts.path("idleMs").asLong(30_000) * MS),
        0,
        0);
  }

  private static EndpointList list(JsonNode entries) throws SpecException {
    List<Endpoint> members = new ArrayList<>();
    Map<String, InetSocketAddress> addresses = new HashMap<>();
    for (JsonNode b : entries) {
      String at = "/boxes/list/" + members.size();
      String id = b.path("id").asText();
      if (addresses.put(id, address(b.path("address").asText(), at + "/address")) != null) {
        throw new SpecException(at + "/id", "two boxes have this id");
      }
      members.add(
          new Endpoint(
              id,
              b.path("kind").asText(""),
              b.path("zone").asText(""),
              b.path("group").asInt(0),
              b.path("size").asDouble(1),
              0,
              b.path("role").asText().equals("primary"),
              Availability.READY));
    }
    return new EndpointList(0, true, List.copyOf(members), Map.copyOf(addresses));
  }

  private static InetSocketAddress address(String text, String pointer) throws SpecException {
    try {
      return GatewayConfig.parseAddress(text);
    } catch (MalformedInputException | IllegalArgumentException e) {
      throw new SpecException(pointer, "not an address");
    }
  }
}

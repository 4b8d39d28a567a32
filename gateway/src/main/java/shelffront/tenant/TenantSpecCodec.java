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
import shelffront.routing.Endpoint;
import shelffront.routing.RequestClass;

/**
 * Reads a tenant from JSON: checked against the schema {@code tenant.schema.json}, then for what no
 * schema says. The field names are those that administrators write; {@code docs/GLOSSARY.md} maps
 * them to the terms of the code. Any thread may call.
 */
public final class TenantSpecCodec {

  /** What is wrong with a document: a JSON pointer (RFC 6901) to the field at fault, and why. */
  public static final class SpecException extends Exception {

    private static final long serialVersionUID = 1L;

    private final String pointer;

    /** The pointer is empty where the fault is the document itself. */
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
  private static final long MICROS_PER_MILLI = 1000;

  /** A burst is what the rate gives in a fifth of a second, if nothing else is set. */
  private static final double DEFAULT_BURSTS_PER_SECOND = 5;

  private static final int DEFAULT_OPEN_REQUESTS = 200;
  private static final int DEFAULT_CLIENT_CONNECTIONS = 100;
  private static final int DEFAULT_HOST_CONNECTIONS = 64;
  private static final long DEFAULT_BUFFER_BYTES = 8L << 20;
  private static final long DEFAULT_GRACE_MILLIS = 5000;
  private static final String DEFAULT_USER = "shelffront";

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

  /** Parses a document that has to be a JSON object. */
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
    validate(document);
    List<RequestClass> classes = readClasses(document.path("classes"));
    double[] classWeights = readClassWeights(document.path("classes"));
    JsonNode hosts = document.path("hosts");
    JsonNode endpoints = document.path("boxes");
    String id = document.path("id").asText();
    return new TenantSpec(
        id,
        document.path("weight").asDouble(1),
        classWeights,
        readBounds(document.path("limits")),
        TenantRoutingSettings.read(classes, hosts, endpoints.has("discovery")),
        new Login(hosts.path("user").asText(DEFAULT_USER), hosts.path("database").asText(id)),
        readEndpointSource(endpoints),
        readDrainedEndpoints(document.path("drained")),
        readCredentials(document.path("credentials")),
        document.path("graceMs").asLong(DEFAULT_GRACE_MILLIS) * MICROS_PER_MILLI);
  }

  private static void validate(JsonNode document) throws SpecException {
    ValidationMessage fault =
        SCHEMA.validate(document).stream()
            .min(Comparator.comparing(message -> message.getInstanceLocation().toString()))
            .orElse(null);
    if (fault != null) {
      throw new SpecException(fault.getInstanceLocation().toString(), fault.getError());
    }
  }

  private static List<RequestClass> readClasses(JsonNode entries) throws SpecException {
    List<RequestClass> classes = new ArrayList<>();
    Set<String> names = new HashSet<>();
    for (JsonNode entry : entries) {
      String pointer = "/classes/" + classes.size();
      if (!names.add(entry.path("name").asText())) {
        throw new SpecException(pointer + "/name", "two classes have this name");
      }
      classes.add(RequestClassCodec.read(entry, pointer));
    }
    return classes;
  }

  private static double[] readClassWeights(JsonNode classes) throws SpecException {
    List<Double> weights = new ArrayList<>();
    for (JsonNode entry : classes) {
      if (entry.has("share")) {
        weights.add(entry.path("share").asDouble());
      }
    }
    if (!weights.isEmpty() && weights.size() != classes.size()) {
      throw new SpecException("/classes", "either all classes have a share or none");
    }
    return weights.stream().mapToDouble(weight -> weight).toArray();
  }

  private static TenantSpec.Bounds readBounds(JsonNode limits) {
    double requestsPerSecond = limits.path("requestsPerSecond").asDouble(0);
    double defaultBurst = Math.max(1, requestsPerSecond / DEFAULT_BURSTS_PER_SECOND);
    return new TenantSpec.Bounds(
        requestsPerSecond,
        limits.path("burst").asDouble(defaultBurst),
        limits.path("openRequests").asInt(DEFAULT_OPEN_REQUESTS),
        limits.path("clientConnections").asInt(DEFAULT_CLIENT_CONNECTIONS),
        limits.path("hostConnections").asInt(DEFAULT_HOST_CONNECTIONS),
        limits.path("bufferBytes").asLong(DEFAULT_BUFFER_BYTES));
  }

  private static Set<String> readDrainedEndpoints(JsonNode ids) {
    Set<String> drained = new HashSet<>();
    ids.forEach(id -> drained.add(id.asText()));
    return Set.copyOf(drained);
  }

  private static List<TenantSpec.Credential> readCredentials(JsonNode entries) {
    List<TenantSpec.Credential> credentials = new ArrayList<>();
    for (JsonNode entry : entries) {
      byte[] keyHash = HexFormat.of().parseHex(entry.path("sha256").asText());
      credentials.add(new TenantSpec.Credential(entry.path("user").asText(), keyHash));
    }
    return List.copyOf(credentials);
  }

  private static TenantSpec.EndpointSource readEndpointSource(JsonNode source)
      throws SpecException {
    InetSocketAddress discoveryAddress =
        source.has("discovery")
            ? readAddress(source.path("discovery").asText(), "/boxes/discovery")
            : null;
    EndpointList endpoints =
        source.has("list") ? readEndpoints(source.path("list")) : EndpointList.empty();
    return new TenantSpec.EndpointSource(discoveryAddress, endpoints);
  }

  private static EndpointList readEndpoints(JsonNode entries) throws SpecException {
    List<Endpoint> endpoints = new ArrayList<>();
    Map<String, InetSocketAddress> addresses = new HashMap<>();
    for (JsonNode entry : entries) {
      String pointer = "/boxes/list/" + endpoints.size();
      String id = entry.path("id").asText();
      InetSocketAddress address = readAddress(entry.path("address").asText(), pointer + "/address");
      if (addresses.put(id, address) != null) {
        throw new SpecException(pointer + "/id", "two boxes have this id");
      }
      endpoints.add(readEndpoint(id, entry));
    }
    return new EndpointList(0, true, List.copyOf(endpoints), Map.copyOf(addresses));
  }

  private static Endpoint readEndpoint(String id, JsonNode entry) {
    return new Endpoint(
        id,
        entry.path("kind").asText(""),
        entry.path("zone").asText(""),
        entry.path("group").asInt(0),
        entry.path("size").asDouble(1),
        0,
        entry.path("role").asText().equals("primary"),
        Availability.READY);
  }

  private static InetSocketAddress readAddress(String text, String pointer) throws SpecException {
    try {
      return GatewayConfig.parseAddress(text);
    } catch (MalformedInputException | IllegalArgumentException e) {
      throw new SpecException(pointer, "not an address");
    }
  }
}

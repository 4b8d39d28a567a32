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
import java.util.TreeSet;
import shelffront.backend.BackendConnections.Login;
import shelffront.config.EndpointList;
import shelffront.config.GatewayConfig;
import shelffront.config.MalformedInputException;
import shelffront.routing.Availability;
import shelffront.routing.Endpoint;
import shelffront.routing.RequestClass;

/**
 * Reads tenant specifications from JSON. Documents are validated against the schema {@code
 * tenant.schema.json} and then against rules that the schema cannot express. {@code
 * docs/GLOSSARY.md} maps the field names of the documents to the terms of the code. Any thread may
 * call.
 */
public final class TenantSpecCodec {

  /**
   * Reports an invalid document, with a JSON pointer (RFC 6901) to the invalid field and the
   * reason.
   */
  public static final class SpecException extends Exception {

    private static final long serialVersionUID = 1L;

    private final String pointer;

    /** Creates an exception; an empty pointer refers to the whole document. */
    public SpecException(String pointer, String reason) {
      super(reason);
      this.pointer = pointer;
    }

    public String pointer() {
      return pointer;
    }
  }

  /**
   * Rejects input that JSON parsers treat differently: duplicate field names and trailing content.
   */
  public static final ObjectMapper JSON =
      new ObjectMapper()
          .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

  /** Regular expression for the names of tenants, gateways and fleets. */
  public static final String NAME_PATTERN = "[a-zA-Z0-9][a-zA-Z0-9_.-]{0,63}";

  private static final JsonSchema SCHEMA = schema();
  private static final long MICROS_PER_MILLI = 1000;

  /** The default burst is one fifth of the requests permitted per second. */
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

  /**
   * Parses a document.
   *
   * @throws SpecException if the text is not JSON or not a JSON object
   */
  public static JsonNode parse(byte[] text) throws SpecException {
    try {
      JsonNode document = JSON.readTree(text);
      if (document == null || !document.isObject()) {
        throw new SpecException("", "expected a JSON object");
      }
      return document;
    } catch (JsonProcessingException e) {
      throw new SpecException("", "not JSON: " + e.getOriginalMessage());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Rejects unknown fields.
   *
   * @param pointer pointer to the object
   * @param names the permitted field names
   * @throws SpecException with the pointer to the first field that has none of these names
   */
  public static void rejectUnknownFields(JsonNode object, String pointer, Set<String> names)
      throws SpecException {
    for (Iterator<String> fieldNames = object.fieldNames(); fieldNames.hasNext(); ) {
      String name = fieldNames.next();
      if (!names.contains(name)) {
        throw new SpecException(
            pointer + "/" + name, "is not a known field; known fields are " + new TreeSet<>(names));
      }
    }
  }

  /**
   * Validates and reads a tenant document.
   *
   * @throws SpecException if the document is invalid; of several violations of the schema, the one
   *     whose pointer sorts first is reported
   */
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
        throw new SpecException(
            pointer + "/name", "duplicate class name \"" + entry.path("name").asText() + "\"");
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
      throw new SpecException(
          "/classes",
          "\"share\" must be set for all classes or for none, but is set for "
              + weights.size()
              + " of "
              + classes.size());
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
        throw new SpecException(pointer + "/id", "duplicate id \"" + id + "\"");
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
      throw new SpecException(
          pointer,
          "expected an IP address and port such as 127.0.0.1:5432, but found \"" + text + "\"");
    }
  }
}

package shelffront.multitenant;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import shelffront.config.GatewayConfig;
import shelffront.config.MalformedInputException;
import shelffront.controlplane.SubscribedRecordsConfig;
import shelffront.rolloutcontrol.RolloutConfig;
import shelffront.tenant.TenantSpecCodec;
import shelffront.tenant.TenantSpecCodec.SpecException;

/**
 * The configuration file of a multi-tenant gateway.
 *
 * @param listen address for clients
 * @param admin address of the administration API; null to disable it
 * @param store file of the document store; null to keep documents in memory only
 * @param cores number of event loops, each with its own thread; every tenant is assigned to one
 * @param sockets maximum number of socket descriptors
 * @param bufferBytes buffer memory of all connections and requests together
 * @param capacity capacity that is divided among the tenants by weight
 * @param tenants tenant documents that are added to the store at startup unless it has one with the
 *     same id
 * @param fleet coordination of rollouts within a fleet; null for a standalone gateway
 * @param distribution subscription that provides the tenants; null if the tenants are in the store
 */
public record MultiTenantConfig(
    InetSocketAddress listen,
    InetSocketAddress admin,
    Path store,
    int cores,
    int sockets,
    long bufferBytes,
    Capacity capacity,
    List<JsonNode> tenants,
    RolloutConfig fleet,
    SubscribedRecordsConfig distribution) {

  private static final Set<String> FIELDS =
      Set.of(
          "listen",
          "admin",
          "store",
          "cores",
          "sockets",
          "bufferBytes",
          "capacity",
          "tenants",
          "fleet",
          "distribution");
  private static final Set<String> CAPACITY_FIELDS = Set.of("requestsPerSecond", "openRequests");

  /**
   * Capacity that is divided among all tenants by weight.
   *
   * @param requestsPerSecond request rate; 0 means unlimited
   * @param openRequests maximum number of concurrently open requests
   */
  public record Capacity(double requestsPerSecond, int openRequests) {}

  /** Creates the configuration of a standalone gateway. */
  public MultiTenantConfig(
      InetSocketAddress listen,
      InetSocketAddress admin,
      Path store,
      int cores,
      int sockets,
      long bufferBytes,
      Capacity capacity,
      List<JsonNode> tenants) {
    this(listen, admin, store, cores, sockets, bufferBytes, capacity, tenants, null, null);
  }

  /**
   * Reads a configuration.
   *
   * @throws SpecException with the pointer to the first invalid field
   */
  public static MultiTenantConfig read(JsonNode document) throws SpecException {
    if (!document.isObject()) {
      throw new SpecException("", "expected a JSON object");
    }
    TenantSpecCodec.rejectUnknownFields(document, "", FIELDS);
    JsonNode capacity = document.path("capacity");
    TenantSpecCodec.rejectUnknownFields(capacity, "/capacity", CAPACITY_FIELDS);
    List<JsonNode> tenants = new ArrayList<>();
    List<String> ids = new ArrayList<>();
    for (JsonNode tenant : document.path("tenants")) {
      String pointer = "/tenants/" + tenants.size();
      try {
        String id = TenantSpecCodec.read(tenant).id();
        if (ids.contains(id)) {
          throw new SpecException("/id", "duplicate tenant id \"" + id + "\"");
        }
        ids.add(id);
      } catch (SpecException e) {
        throw new SpecException(pointer + e.pointer(), e.getMessage());
      }
      tenants.add(tenant);
    }
    if (document.has("distribution") && !tenants.isEmpty()) {
      throw new SpecException(
          "/tenants",
          "must be empty if \"distribution\" is set; add tenants through the administration API");
    }
    if (!document.path("store").isMissingNode() && !document.path("store").isTextual()) {
      throw new SpecException(
          "/store", "must be a string with the path of a file, but is " + document.path("store"));
    }
    return new MultiTenantConfig(
        address(document, "listen"),
        document.has("admin") ? address(document, "admin") : null,
        document.has("store") ? Path.of(document.path("store").asText()) : null,
        (int) number(document, "", "cores", 1, 64, 1),
        (int) number(document, "", "sockets", 64, 1_000_000, 1024),
        (long) number(document, "", "bufferBytes", 1 << 20, 1L << 40, 64L << 20),
        new Capacity(
            number(capacity, "/capacity", "requestsPerSecond", 0, 1e7, 0),
            (int) number(capacity, "/capacity", "openRequests", 1, 1e7, 2000)),
        List.copyOf(tenants),
        document.has("fleet") ? RolloutConfig.read(document.path("fleet"), "/fleet") : null,
        document.has("distribution")
            ? SubscribedRecordsConfig.read(document.path("distribution"), "/distribution")
            : null);
  }

  private static double number(
      JsonNode object, String pointer, String name, double min, double max, double defaultValue)
      throws SpecException {
    JsonNode value = object.path(name);
    if (value.isMissingNode()) {
      return defaultValue;
    }
    if (!value.isNumber() || value.asDouble() < min || value.asDouble() > max) {
      throw new SpecException(
          pointer + "/" + name,
          "must be a number from " + (long) min + " to " + (long) max + ", but is " + value);
    }
    return value.asDouble();
  }

  private static InetSocketAddress address(JsonNode document, String name) throws SpecException {
    try {
      return GatewayConfig.parseAddress(document.path(name).asText());
    } catch (MalformedInputException | IllegalArgumentException e) {
      throw new SpecException(
          "/" + name,
          "expected an IP address and port such as 127.0.0.1:5432, but found \""
              + document.path(name).asText()
              + "\"");
    }
  }
}

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
 * What a hosted gateway is told by its own file.
 *
 * @param admin where administrators connect; null for no administration
 * @param store the file that keeps what they set; null to keep it in memory only
 * @param cores event loops, each with a thread; every tenant lives on one of them
 * @param sockets descriptors that it may use
 * @param bufferBytes for all connections and requests together
 * @param capacity what is divided among the tenants by weight
 * @param tenants put into the store at the start where it has none of that name
 * @param fleet what the gateways of a fleet change together; null where this one is on its own
 * @param distribution by which its tenants come to it; null where it has tenants of its own
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

  private static final Set<String> NAMES =
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
  private static final Set<String> CAPACITY_NAMES = Set.of("requestsPerSecond", "openRequests");

  /**
   * What all tenants may use together, divided among them by weight.
   *
   * @param requestsPerSecond 0 is no bound
   * @param openRequests requests that may be open at a time
   */
  public record Capacity(double requestsPerSecond, int openRequests) {}

  /** Of a gateway on its own. */
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

  /** Throws with the pointer to the first field at fault. */
  public static MultiTenantConfig read(JsonNode top) throws SpecException {
    if (!top.isObject()) {
      throw new SpecException("", "not a JSON object");
    }
    TenantSpecCodec.onlyFields(top, "", NAMES);
    JsonNode capacity = top.path("capacity");
    TenantSpecCodec.onlyFields(capacity, "/capacity", CAPACITY_NAMES);
    List<JsonNode> tenants = new ArrayList<>();
    List<String> ids = new ArrayList<>();
    for (JsonNode tenant : top.path("tenants")) {
      String at = "/tenants/" + tenants.size();
      try {
        String id = TenantSpecCodec.read(tenant).id();
        if (ids.contains(id)) {
          throw new SpecException("/id", "two tenants have this id");
        }
        ids.add(id);
      } catch (SpecException e) {
        throw new SpecException(at + e.pointer(), e.getMessage());
      }
      tenants.add(tenant);
    }
    if (top.has("distribution") && !tenants.isEmpty()) {
      throw new SpecException(
          "/tenants", "come by distribution; put them through the administration");
    }
    if (!top.path("store").isMissingNode() && !top.path("store").isTextual()) {
      throw new SpecException("/store", "is not the path of a file");
    }
    return new MultiTenantConfig(
        address(top, "listen"),
        top.has("admin") ? address(top, "admin") : null,
        top.has("store") ? Path.of(top.path("store").asText()) : null,
        (int) number(top, "", "cores", 1, 64, 1),
        (int) number(top, "", "sockets", 64, 1_000_000, 1024),
        (long) number(top, "", "bufferBytes", 1 << 20, 1L << 40, 64L << 20),
        new Capacity(
            number(capacity, "/capacity", "requestsPerSecond", 0, 1e7, 0),
            (int) number(capacity, "/capacity", "openRequests", 1, 1e7, 2000)),
        List.copyOf(tenants),
        top.has("fleet") ? RolloutConfig.read(top.path("fleet"), "/fleet") : null,
        top.has("distribution")
            ? SubscribedRecordsConfig.read(top.path("distribution"), "/distribution")
            : null);
  }

  private static double number(
      JsonNode object, String at, String name, double least, double most, double absent)
      throws SpecException {
    JsonNode value = object.path(name);
    if (value.isMissingNode()) {
      return absent;
    }
    if (!value.isNumber() || value.asDouble() < least || value.asDouble() > most) {
      throw new SpecException(
          at + "/" + name, "is not a number from " + (long) least + " to " + (long) most);
    }
    return value.asDouble();
  }

  private static InetSocketAddress address(JsonNode top, String name) throws SpecException {
    try {
      return GatewayConfig.parseAddress(top.path(name).asText());
    } catch (MalformedInputException | IllegalArgumentException e) {
      throw new SpecException("/" + name, "is not an address host:port");
    }
  }
}

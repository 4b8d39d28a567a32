package shelffront.tenant;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import shelffront.backend.BackendConnections.Login;
import shelffront.config.EndpointList;
import shelffront.routing.RoutingSettings;

/**
 * The specification of a tenant, set by an administrator and applied by running gateways.
 *
 * @param id the name that clients send as database in their startup message
 * @param weight relative share of the capacity that tenants share, above 0
 * @param classWeights one weight per request class, in the order of the classes; empty if the quota
 *     is not divided among classes
 * @param settings the router settings: request classes, rules and limits of endpoints
 * @param login user and database with which the gateway logs in to the endpoints
 * @param bounds upper bounds on the resources of the tenant
 * @param endpointSource source of the endpoint list
 * @param drainedEndpoints ids of endpoints drained by an administrator, which override the endpoint
 *     list
 * @param credentials users that may connect; if empty, anyone may
 * @param graceMicros time for which admitted requests may continue after the tenant is removed
 */
public record TenantSpec(
    String id,
    double weight,
    double[] classWeights,
    Bounds bounds,
    RoutingSettings settings,
    Login login,
    EndpointSource endpointSource,
    Set<String> drainedEndpoints,
    List<Credential> credentials,
    long graceMicros) {

  /** Upper bounds on the resources of a tenant. A rate of 0 means unlimited. */
  public record Bounds(
      double requestsPerSecond,
      double burst,
      int openRequests,
      int clientConnections,
      int hostConnections,
      long bufferBytes) {}

  /**
   * Source of the endpoint list of a tenant.
   *
   * @param discoveryAddress the discovery service that provides the list; null for a fixed list
   * @param endpoints the fixed list, or the last known list of discovery
   */
  public record EndpointSource(InetSocketAddress discoveryAddress, EndpointList endpoints) {}

  /** A user and the hash of its generated key. The key itself is not stored. */
  public record Credential(String user, byte[] keyHash) {}

  public InetSocketAddress discoveryAddress() {
    return endpointSource.discoveryAddress();
  }

  public EndpointList endpoints() {
    return endpointSource.endpoints();
  }

  /**
   * Whether a running tenant with this specification can change to the other one without a new
   * router.
   */
  boolean canUpdateInPlaceTo(TenantSpec other) {
    return settings.equals(other.settings)
        && login.equals(other.login)
        && (discoveryAddress() == null) == (other.discoveryAddress() == null);
  }
}

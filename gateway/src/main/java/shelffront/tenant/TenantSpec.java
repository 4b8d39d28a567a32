package shelffront.tenant;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import shelffront.backend.BackendConnections.Login;
import shelffront.config.EndpointList;
import shelffront.routing.RoutingSettings;

/**
 * The specification of a tenant: what an administrator sets and a gateway applies while it runs.
 *
 * @param id the name by which clients ask for it, as the database of their startup message
 * @param weight its part of what tenants share, above 0
 * @param classWeights a weight for each class, in their order; empty where its classes have no
 *     shares of their own
 * @param settings its classes, rules and the limits of its endpoints
 * @param login who its endpoints are told the gateway is
 * @param bounds what it may use at most
 * @param endpointSource where its endpoint list comes from
 * @param drainedEndpoints ids of endpoints that an administrator has drained, whatever the list
 *     says
 * @param credentials who may connect; empty: everybody
 * @param graceMicros how long what was taken may go on once the tenant is removed
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

  /** What a tenant may use at most; a rate of 0 is no bound. */
  public record Bounds(
      double requestsPerSecond,
      double burst,
      int openRequests,
      int clientConnections,
      int hostConnections,
      long bufferBytes) {}

  /**
   * Where the endpoint list of a tenant comes from.
   *
   * @param discoveryAddress the discovery service that gives the list; null where it is given here
   * @param endpoints the list as last known, or the endpoints given directly
   */
  public record EndpointSource(InetSocketAddress discoveryAddress, EndpointList endpoints) {}

  /** A user and the hash of its generated key; the key itself is kept nowhere. */
  public record Credential(String user, byte[] keyHash) {}

  public InetSocketAddress discoveryAddress() {
    return endpointSource.discoveryAddress();
  }

  public EndpointList endpoints() {
    return endpointSource.endpoints();
  }

  /** Whether everything that a running tenant can't change under way is as in another. */
  boolean canUpdateInPlaceTo(TenantSpec other) {
    return settings.equals(other.settings)
        && login.equals(other.login)
        && (discoveryAddress() == null) == (other.discoveryAddress() == null);
  }
}

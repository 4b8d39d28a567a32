package shelffront.tenant;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import shelffront.backend.BackendConnections.Login;
import shelffront.config.EndpointList;
import shelffront.routing.RoutingSettings;

/**
 * All that makes a tenant: what an administrator sets and a gateway takes up while it runs. Times
 * are microseconds.
 *
 * @param id the name by which clients ask for it, as the database of their startup message
 * @param weight its part of what tenants share, above 0
 * @param classWeights a weight for each class, in their order; empty where its classes have no
 *     shares of their own
 * @param settings its classes, rules and the limits of its boxes
 * @param login who its boxes are told the gateway is
 * @param discoveryAddress where its list of boxes is had; null where it is given here
 * @param endpoints the list as last known, or the boxes given directly
 * @param drainedEndpoints ids of boxes that an administrator has drained, whatever the list says
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
    InetSocketAddress discoveryAddress,
    EndpointList endpoints,
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

  /** A user and the hash of its generated key; the key itself is kept nowhere. */
  public record Credential(String user, byte[] keyHash) {}

  /** Whether everything that a running tenant can't change under way is as in another. */
  boolean canUpdateInPlaceTo(TenantSpec other) {
    return settings.equals(other.settings)
        && login.equals(other.login)
        && (discoveryAddress == null) == (other.discoveryAddress == null);
  }
}

package shelffront.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeSet;
import java.util.function.IntPredicate;

/**
 * Selects the endpoints of a replica set that each gateway of a fleet prefers, so that a hundred
 * gateways do not all connect to and health-check every host (deterministic subsetting: <i>Site
 * Reliability Engineering</i>, ch. 20).
 *
 * <p>The selection is a pure function of the names of the gateways and endpoints, so gateways that
 * know the same names agree without exchanging messages. Each known gateway, whether up or down, is
 * first assigned the endpoints with the highest rendezvous hashes (Thaler and Ravishankar, 1998),
 * which keeps most assignments when endpoints are added or removed. Hashing alone would assign too
 * many gateways to some endpoints, so single assignments are moved, those that lose the least rank
 * first, until the gateway counts of any two endpoints differ by at most one. A gateway that stops
 * then removes only its own assignments. If too many gateways of one endpoint have stopped,
 * assignments of the gateways that are up are moved in the same way until the count of every
 * endpoint is within 5 % of the mean, or within one gateway if that is more.
 *
 * <p>As a result, the restart of a gateway moves very few assignments of other gateways; a larger
 * change occurs only when a gateway is added to or removed from the known names.
 *
 * <p>A subset is a preference, not a constraint: callers check freshness, roles and health first.
 */
public final class EndpointSubsetting {

  /**
   * With fewer gateways per endpoint, the uneven traffic of gateways would make the load of
   * endpoints uneven.
   */
  static final int MIN_GATEWAYS_PER_ENDPOINT = 16;

  /**
   * With a single endpoint, each pause of that endpoint would redirect all of its gateways at once.
   */
  static final int MIN_SUBSET_SIZE = 2;

  /**
   * Maximum deviation of the gateway count of an endpoint from the mean, as a fraction of the mean,
   * while gateways are down. A smaller value would move more assignments.
   */
  static final double MAX_IMBALANCE = 0.05;

  private EndpointSubsetting() {}

  /** Number of endpoints that each gateway prefers; all of them in a small fleet. */
  public static int size(int gatewayCount, int endpointCount) {
    int wanted =
        (int)
            Math.ceil(
                MIN_GATEWAYS_PER_ENDPOINT * (double) endpointCount / Math.max(1, gatewayCount));
    return Math.min(endpointCount, Math.max(MIN_SUBSET_SIZE, wanted));
  }

  /** Whether a fleet is so small that every gateway prefers all endpoints. */
  public static boolean coversAllEndpoints(int gatewayCount) {
    return gatewayCount <= MIN_GATEWAYS_PER_ENDPOINT;
  }

  /**
   * Returns the endpoints that one gateway prefers if only the number of gateways in the fleet is
   * known, not their names.
   */
  public static List<String> subsets(
      int gatewayIndex, int gatewayCount, Collection<String> endpointIds) {
    if (coversAllEndpoints(gatewayCount)) {
      return List.copyOf(endpointIds);
    }
    List<String> gatewayNames = new ArrayList<>(gatewayCount);
    for (int gateway = 0; gateway < gatewayCount; gateway++) {
      gatewayNames.add("n" + gateway);
    }
    int size = size(gatewayCount, endpointIds.size());
    return subsets(gatewayNames, gateway -> true, endpointIds, size)
        .get(Math.floorMod(gatewayIndex, gatewayCount));
  }

  /**
   * Returns the endpoints that each gateway prefers, in the order of {@code gatewayNames}. Each
   * list is sorted by endpoint id and is empty for a gateway that is down.
   *
   * @param gatewayNames names of all known gateways of the fleet, in an order that all gateways
   *     share
   * @param isUp whether the gateway at this index is considered to be up
   * @param endpointIds ids of all endpoints, in any order
   * @param size size of each subset, 0 or more; all endpoints if there are fewer
   */
  public static List<List<String>> subsets(
      List<String> gatewayNames, IntPredicate isUp, Collection<String> endpointIds, int size) {
    List<String> sortedIds = new ArrayList<>(new TreeSet<>(endpointIds));
    SubsetAssignment assignment =
        new SubsetAssignment(gatewayNames, sortedIds, Math.min(size, sortedIds.size()));
    assignment.balance();
    for (int gateway = 0; gateway < gatewayNames.size(); gateway++) {
      if (!isUp.test(gateway)) {
        assignment.clear(gateway);
      }
    }
    assignment.balanceWithin(MAX_IMBALANCE);
    List<List<String>> subsets = new ArrayList<>(gatewayNames.size());
    for (int gateway = 0; gateway < gatewayNames.size(); gateway++) {
      subsets.add(assignment.subset(gateway));
    }
    return subsets;
  }
}

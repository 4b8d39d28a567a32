package shelffront.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeSet;
import java.util.function.IntPredicate;

/**
 * Which endpoints of a replica set each gateway of a fleet prefers, so that a hundred gateways
 * don't all hold connections to, and check, every host (deterministic subsetting: <i>Site
 * Reliability Engineering</i>, ch. 20).
 *
 * <p>A pure function of the names of the gateways and endpoints: gateways that see the same names
 * agree without a message. Every known gateway, up or not, takes the endpoints that rank highest
 * for it by rendezvous hashing (Thaler and Ravishankar, 1998), which keeps most choices as
 * endpoints come and go. Chance alone would leave some endpoints with too many gateways: single
 * choices, those that cost least rank, are moved until the counts of any two endpoints differ by
 * one at most. From there a gateway that stops takes only its own choices away. Where too many of
 * one endpoint's have stopped, choices of those that are up are moved likewise until every endpoint
 * is within a twentieth of the mean, or one gateway if that is more.
 *
 * <p>So a restart moves next to nothing, and only a gateway that is new, or is known no longer,
 * moves choices of others.
 *
 * <p>A preference and no rule: freshness, roles and health are judged first, by others.
 */
public final class EndpointSubsetting {

  /** With fewer gateways for each endpoint their uneven traffic would show in its load. */
  static final int MIN_GATEWAYS_PER_ENDPOINT = 16;

  /** With one, each of its pauses would send all its gateways elsewhere at once. */
  static final int MIN_SUBSET_SIZE = 2;

  /**
   * Part of the mean that an endpoint's count may be off it while gateways are down. Less would
   * move more choices.
   */
  static final double MAX_IMBALANCE = 0.05;

  private EndpointSubsetting() {}

  /** How many of so many endpoints each gateway prefers: all of them in a small fleet. */
  public static int size(int gatewayCount, int endpointCount) {
    int wanted =
        (int)
            Math.ceil(
                MIN_GATEWAYS_PER_ENDPOINT * (double) endpointCount / Math.max(1, gatewayCount));
    return Math.min(endpointCount, Math.max(MIN_SUBSET_SIZE, wanted));
  }

  /** Whether every gateway of a fleet of so many prefers all endpoints. */
  public static boolean coversAllEndpoints(int gatewayCount) {
    return gatewayCount <= MIN_GATEWAYS_PER_ENDPOINT;
  }

  /**
   * The endpoints that one gateway of a fleet prefers where nothing is known of the others but
   * their number.
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
   * The endpoints that each gateway prefers, by the gateway's place among the known ones; each list
   * is in the order of the endpoints' ids, and empty for a gateway that is down.
   *
   * @param gatewayNames the names of all gateways of the fleet, in any order that all share
   * @param isUp whether the gateway at this place is taken to be up
   * @param endpointIds the ids of all endpoints, in any order
   * @param size of each subset, from 0; all endpoints where there are fewer
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

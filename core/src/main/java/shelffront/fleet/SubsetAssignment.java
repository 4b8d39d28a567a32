package shelffront.fleet;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Assigns endpoints to gateways and balances the number of gateways per endpoint. Not thread-safe.
 *
 * <p>Invariant: balancing moves single assignments of a gateway from one endpoint to another, so
 * the size of its subset stays the same.
 */
final class SubsetAssignment {

  private final List<String> endpointIds;

  /** Rank by gateway and endpoint: uniformly distributed in 0 to 1, and equal on all gateways. */
  private final double[][] ranks;

  /** Whether an endpoint is assigned to a gateway, by gateway and endpoint. */
  private final boolean[][] assigned;

  /** Assigns to each gateway the {@code size} endpoints that rank highest for it. */
  SubsetAssignment(List<String> gatewayNames, List<String> endpointIds, int size) {
    this.endpointIds = endpointIds;
    ranks = new double[gatewayNames.size()][endpointIds.size()];
    assigned = new boolean[gatewayNames.size()][endpointIds.size()];
    for (int gateway = 0; gateway < gatewayNames.size(); gateway++) {
      rank(gatewayNames.get(gateway), ranks[gateway]);
      assignHighest(ranks[gateway], assigned[gateway], size);
    }
  }

  private void rank(String gatewayName, double[] gatewayRanks) {
    long gatewaySeed = new SplittableRandom(gatewayName.hashCode()).nextLong();
    for (int endpoint = 0; endpoint < gatewayRanks.length; endpoint++) {
      long seed = gatewaySeed ^ endpointIds.get(endpoint).hashCode();
      gatewayRanks[endpoint] = new SplittableRandom(seed).nextDouble();
    }
  }

  private static void assignHighest(double[] gatewayRanks, boolean[] gatewayAssigned, int count) {
    for (int i = 0; i < count; i++) {
      int best = -1;
      for (int endpoint = 0; endpoint < gatewayRanks.length; endpoint++) {
        if (!gatewayAssigned[endpoint]
            && (best < 0 || gatewayRanks[endpoint] > gatewayRanks[best])) {
          best = endpoint;
        }
      }
      gatewayAssigned[best] = true;
    }
  }

  /** Removes all assignments of a gateway. */
  void clear(int gateway) {
    Arrays.fill(assigned[gateway], false);
  }

  /** Returns the ids of the endpoints assigned to a gateway, in the order of the endpoints. */
  List<String> subset(int gateway) {
    List<String> subset = new ArrayList<>();
    for (int endpoint = 0; endpoint < endpointIds.size(); endpoint++) {
      if (assigned[gateway][endpoint]) {
        subset.add(endpointIds.get(endpoint));
      }
    }
    return subset;
  }

  /** Moves assignments until the gateway count of each endpoint is the mean, rounded up or down. */
  void balance() {
    int[] counts = counts();
    double mean = mean(counts);
    moveUntilWithin(counts, (int) Math.floor(mean), (int) Math.ceil(mean));
  }

  /**
   * Moves assignments until the gateway count of each endpoint deviates from the mean by at most
   * the given fraction of it, or by one gateway if that is more.
   */
  void balanceWithin(double maxImbalance) {
    int[] counts = counts();
    double mean = mean(counts);
    double tolerance = Math.max(1, mean * maxImbalance);
    moveUntilWithin(counts, (int) Math.ceil(mean - tolerance), (int) Math.floor(mean + tolerance));
  }

  private int[] counts() {
    int[] counts = new int[endpointIds.size()];
    for (boolean[] gatewayAssigned : assigned) {
      for (int endpoint = 0; endpoint < counts.length; endpoint++) {
        counts[endpoint] += gatewayAssigned[endpoint] ? 1 : 0;
      }
    }
    return counts;
  }

  private static double mean(int[] counts) {
    double sum = Arrays.stream(counts).sum();
    return sum / Math.max(1, counts.length);
  }

  private void moveUntilWithin(int[] counts, int min, int max) {
    boolean moved = true;
    while (moved) {
      moved = moveAcross(counts, max) || moveAcross(counts, min);
    }
  }

  private record Move(int gateway, int from, int to) {}

  /**
   * Moves the one assignment that loses the least rank from an endpoint whose count is above the
   * bound to an endpoint whose count is below it; returns false if there is no such assignment.
   */
  private boolean moveAcross(int[] counts, int bound) {
    Move move = cheapestMove(counts, bound);
    if (move == null) {
      return false;
    }
    assigned[move.gateway][move.from] = false;
    assigned[move.gateway][move.to] = true;
    counts[move.from]--;
    counts[move.to]++;
    return true;
  }

  private Move cheapestMove(int[] counts, int bound) {
    double leastCost = Double.MAX_VALUE;
    Move cheapest = null;
    for (int from = 0; from < counts.length; from++) {
      for (int to = 0; counts[from] > bound && to < counts.length; to++) {
        for (int gateway = 0; counts[to] < bound && gateway < assigned.length; gateway++) {
          double cost = ranks[gateway][from] - ranks[gateway][to];
          if (assigned[gateway][from] && !assigned[gateway][to] && cost < leastCost) {
            leastCost = cost;
            cheapest = new Move(gateway, from, to);
          }
        }
      }
    }
    return cheapest;
  }
}

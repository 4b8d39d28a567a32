package shelffront.fleet;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.IntPredicate;

/**
 * Which hosts of a set each gateway of a fleet prefers, so that a hundred gateways don't all hold
 * connections to, and probe, every host (deterministic subsetting: <i>Site Reliability
 * Engineering</i>, ch. 20).
 *
 * <p>A pure function of the names of the gateways and hosts: gateways that see the same names agree
 * without a word. Every known gateway, up or not, takes the hosts that rank highest for it by
 * rendezvous hashing (Thaler and Ravishankar, 1998), which keeps most choices as hosts come and go.
 * Chance alone would leave some hosts with too many: single choices, those that cost least rank,
 * are moved until the counts of any two hosts differ by one at most. From there a gateway that
 * stops takes only its own choices away. Where too many of one host's have stopped, choices of
 * those that are up are moved likewise until every host is within a twentieth of the mean, or one
 * gateway if that is more.
 *
 * <p>So a restart moves next to nothing, and only a gateway that is new, or is known no longer,
 * moves choices of others.
 *
 * <p>A preference and no fence: freshness, roles and health are judged first, by others.
 */
public final class EndpointSubsetting {

  /** With fewer gateways before each host than this their uneven traffic would show in its load. */
  static final int GATEWAYS_A_HOST = 16;

  /** With one, each of its pauses would send all its gateways elsewhere at once. */
  static final int LEAST = 2;

  /**
   * Of the mean: what a host's count may be off it while gateways are down. Less would move more
   * choices.
   */
  static final double SLACK = 0.05;

  private EndpointSubsetting() {}

  /** How many of so many hosts each gateway prefers: all of them in a small fleet. */
  public static int size(int gateways, int hosts) {
    int wanted = (int) Math.ceil(GATEWAYS_A_HOST * (double) hosts / Math.max(1, gateways));
    return Math.min(hosts, Math.max(LEAST, wanted));
  }

  /** Whether every gateway of a fleet of so many prefers all hosts. */
  public static boolean coversAllEndpoints(int gateways) {
    return gateways <= GATEWAYS_A_HOST;
  }

  /**
   * The hosts that one gateway of a fleet prefers where nothing is known of the others but their
   * number.
   */
  public static List<String> subsets(int self, int gateways, Collection<String> hosts) {
    if (coversAllEndpoints(gateways)) {
      return List.copyOf(hosts);
    }
    List<String> names = new ArrayList<>(gateways);
    for (int g = 0; g < gateways; g++) {
      names.add("n" + g);
    }
    return subsets(names, g -> true, hosts, size(gateways, hosts.size()))
        .get(Math.floorMod(self, gateways));
  }

  /**
   * The hosts that each gateway prefers, by the gateway's place among the known ones; each list is
   * in the order of the hosts' names, and empty for a gateway that is down.
   *
   * @param known the names of all gateways of the fleet, in any order that all share
   * @param up whether the gateway at this place is taken to be up
   * @param hosts the names of all hosts, in any order
   * @param size of each subset, from 0; all hosts where there are fewer
   */
  public static List<List<String>> subsets(
      List<String> known, IntPredicate up, Collection<String> hosts, int size) {
    List<String> names = new ArrayList<>(new TreeSet<>(hosts));
    int most = Math.min(size, names.size());
    double[][] ranks = new double[known.size()][names.size()];
    boolean[][] taken = new boolean[known.size()][names.size()];
    for (int g = 0; g < known.size(); g++) {
      rank(known.get(g), names, ranks[g]);
      take(ranks[g], taken[g], most);
    }
    level(ranks, taken, 0);
    for (int g = 0; g < known.size(); g++) {
      if (!up.test(g)) {
        Arrays.fill(taken[g], false);
      }
    }
    level(ranks, taken, SLACK);
    List<List<String>> chosen = new ArrayList<>(known.size());
    for (boolean[] own : taken) {
      List<String> list = new ArrayList<>(most);
      for (int h = 0; h < own.length; h++) {
        if (own[h]) {
          list.add(names.get(h));
        }
      }
      chosen.add(list);
    }
    return chosen;
  }

  /** How each host ranks for a gateway, 0 to 1: the same everywhere, and evenly spread. */
  private static void rank(String gateway, List<String> hosts, double[] ranks) {
    long own = new SplittableRandom(gateway.hashCode()).nextLong();
    for (int h = 0; h < ranks.length; h++) {
      ranks[h] = new SplittableRandom(own ^ hosts.get(h).hashCode()).nextDouble();
    }
  }

  /** Takes so many of the hosts, those that rank highest. */
  private static void take(double[] ranks, boolean[] taken, int most) {
    for (int i = 0; i < most; i++) {
      int best = -1;
      for (int h = 0; h < ranks.length; h++) {
        best = !taken[h] && (best < 0 || ranks[h] > ranks[best]) ? h : best;
      }
      taken[best] = true;
    }
  }

  /**
   * Moves single choices, those that cost least rank, until the hosts' counts are the mean, rounded
   * up or down; where there is a slack, a part of the mean, they may be off it by that, or by one.
   */
  private static void level(double[][] ranks, boolean[][] taken, double slack) {
    int[] load = new int[ranks.length == 0 ? 0 : ranks[0].length];
    double sum = 0;
    for (boolean[] own : taken) {
      for (int h = 0; h < own.length; h++) {
        load[h] += own[h] ? 1 : 0;
        sum += own[h] ? 1 : 0;
      }
    }
    double mean = sum / Math.max(1, load.length);
    double off = slack == 0 ? 0 : Math.max(1, mean * slack);
    int most = (int) (slack == 0 ? Math.ceil(mean) : Math.floor(mean + off));
    int least = (int) (slack == 0 ? Math.floor(mean) : Math.ceil(mean - off));
    while (move(ranks, taken, load, most) || move(ranks, taken, load, least)) {}
  }

  /**
   * Moves the one choice that costs least rank from a host above the bound to one below it; false
   * where none can.
   */
  private static boolean move(double[][] ranks, boolean[][] taken, int[] load, int bound) {
    double cost = Double.MAX_VALUE;
    int mover = -1;
    int source = -1;
    int target = -1;
    for (int from = 0; from < load.length; from++) {
      for (int to = 0; load[from] > bound && to < load.length; to++) {
        for (int g = 0; load[to] < bound && g < taken.length; g++) {
          if (taken[g][from] && !taken[g][to] && ranks[g][from] - ranks[g][to] < cost) {
            cost = ranks[g][from] - ranks[g][to];
            mover = g;
            source = from;
            target = to;
          }
        }
      }
    }
    if (mover < 0) {
      return false;
    }
    taken[mover][source] = false;
    taken[mover][target] = true;
    load[source]--;
    load[target]++;
    return true;
  }
}

package shelffront.lab.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import shelffront.lab.model.ReplicaSetParameters;
import shelffront.lab.virtual.VirtualNetwork.Weather;

/**
 * The complete description of a simulation run, which is fully determined by it. Scenarios are
 * drawn from a seed, and {@link ScenarioShrinker} reduces those that fail. Times are microseconds
 * from the start of the load.
 *
 * @param seed seed of all random numbers of the run
 * @param sets number of replica sets
 * @param boxes number of hosts of each replica set
 * @param perSecond request rate of all gateways together
 * @param length duration of the load
 * @param figures parameters of the replica sets
 * @param weather latency, jitter and fragmentation of the network
 * @param listDelay delay of endpoint list updates
 */
public record Scenario(
    long seed,
    int gateways,
    int sets,
    int boxes,
    double perSecond,
    long length,
    ReplicaSetParameters figures,
    Weather weather,
    long listDelay,
    RandomDeployment deployment,
    Means means,
    List<Fault> faults) {

  /** The kinds of injected faults. The names are part of the event trace. */
  public enum FaultKind {
    KILL_BOX,
    KILL_PRIMARY,
    DRAIN_BOX,
    DRAIN_PRIMARY,
    VANISH_BOX,
    SLOW_BOX,
    SPOIL_BOX,
    RESET_BOX,
    BAD_NETWORK,
    BREAK_WATCHES,
    DISCOVERY_DOWN,
    KILL_GATEWAY,
    STOP_GATEWAY,
    PAUSE_GATEWAY,
    STEP_CLOCK,
    BURST,
    HANG_UPS,
    STALL_READERS,
    RELOAD,
    GARBAGE,
    IDLE_CROWD,
    HICCUP_BOX,
    REMOVE_TENANT,
    CHANGE_TENANT,
    DRAIN_BY_TENANT
  }

  /**
   * One fault.
   *
   * @param at time of the fault after the start of the load, in microseconds
   * @param target number that selects the affected host, gateway or client population
   * @param time duration of the fault, in microseconds
   */
  public record Fault(long at, FaultKind kind, int target, long time) {

    @Override
    public String toString() {
      return String.format(
          Locale.ROOT, "%.3fs %s %d for %.3fs", at / 1e6, kind, target, time / 1e6);
    }
  }

  /**
   * The resources and costs of a gateway process.
   *
   * @param sockets maximum number of open sockets
   * @param work core time of each request, attempt, health check, connection and endpoint update,
   *     in microseconds
   * @param pauses pauses per second, of 5 to 60 ms each, such as garbage collections
   * @param tenants number of tenants of a multi-tenant gateway; 0 for a single-tenant gateway
   * @param loops event loops of a multi-tenant gateway
   * @param connections maximum number of connections of its clients for due requests; a request for
   *     which no connection is available is not sent
   */
  public record Means(
      int sockets, long work, double pauses, int tenants, int loops, int connections) {

    private static final int CONNECTIONS = 150;

    public static final Means PLAIN = new Means(1024, 0, 0, 0, 1, CONNECTIONS);

    /** Returns the resources of a multi-tenant gateway. */
    public static Means hosted(int tenants, int loops) {
      return new Means(2048, 0, 0, tenants, loops, CONNECTIONS);
    }
  }

  private static final long MICROS_PER_SECOND = 1_000_000;

  /** Draws a scenario that depends only on {@code seed}. */
  public static Scenario draw(long seed) {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    int gateways = 1 + random.nextInt(4);
    int sets = 1 + random.nextInt(2);
    int boxes = 2 + random.nextInt(3);
    long length = (6 + random.nextInt(10)) * MICROS_PER_SECOND;
    ReplicaSetParameters.Check check = ReplicaSetParameters.Check.values()[random.nextInt(3)];
    int cores = 2 + random.nextInt(7);
    long work = 1_000 + random.nextInt(12_000);
    double load = 0.15 + 1.1 * random.nextDouble() * random.nextDouble();
    ReplicaSetParameters parameters =
        new ReplicaSetParameters(
            cores,
            8 + random.nextInt(60),
            40 + random.nextInt(200),
            work,
            work * 2,
            0.2 + random.nextDouble(),
            300 + random.nextInt(3_000),
            500 + random.nextInt(40_000),
            100 + random.nextInt(1500),
            0.21,
            18 * MICROS_PER_SECOND,
            MICROS_PER_SECOND + random.nextInt((int) (3 * MICROS_PER_SECOND)),
            200_000 + random.nextInt((int) MICROS_PER_SECOND),
            2 * MICROS_PER_SECOND,
            check,
            50_000,
            4,
            2 * MICROS_PER_SECOND,
            random.nextInt(4) == 0);
    Weather weather =
        new Weather(
            100 + random.nextInt(900),
            random.nextInt(2_000),
            random.nextInt(3) == 0 ? 0 : random.nextDouble() / 2);
    // In most scenarios the load is at most half the capacity of the hosts, because replicas serve
    // only reads and the primary serves all writes.
    double perSecond = load * sets * boxes * cores * 1e6 / (work * 1.4);
    List<Fault> faults = new ArrayList<>();
    int count = random.nextInt(9);
    for (int i = 0; i < count; i++) {
      FaultKind kind = FaultKind.values()[random.nextInt(FaultKind.values().length)];
      faults.add(
          new Fault(
              MICROS_PER_SECOND / 2 + random.nextLong(length - MICROS_PER_SECOND),
              kind,
              random.nextInt(100),
              50_000 + random.nextLong(4 * MICROS_PER_SECOND)));
    }
    long listDelay = 200_000 + random.nextInt((int) (2 * MICROS_PER_SECOND));
    boolean onceWrites = random.nextInt(3) == 0;
    Means means =
        new Means(
            random.nextInt(4) == 0 ? 256 : 1024,
            random.nextInt(2) == 0 ? 0 : 10 + random.nextInt(90),
            random.nextInt(3) == 0 ? random.nextDouble() : 0,
            Math.max(0, random.nextInt(8) - 4),
            1 + random.nextInt(3),
            Means.CONNECTIONS);
    return new Scenario(
        seed,
        gateways,
        sets,
        boxes,
        Math.min(600, perSecond),
        length,
        parameters,
        weather,
        listDelay,
        RandomDeployment.draw(random, onceWrites),
        means,
        List.copyOf(faults));
  }

  Scenario withFaults(List<Fault> newFaults) {
    return new Scenario(
        seed,
        gateways,
        sets,
        boxes,
        perSecond,
        length,
        figures,
        weather,
        listDelay,
        deployment,
        means,
        List.copyOf(newFaults));
  }

  /** Returns the same scenario with another deployment. */
  public Scenario withDeployment(RandomDeployment other) {
    return new Scenario(
        seed, gateways, sets, boxes, perSecond, length, figures, weather, listDelay, other, means,
        faults);
  }

  /** Returns the same scenario with another seed. */
  public Scenario withSeed(long other) {
    return new Scenario(
        other,
        gateways,
        sets,
        boxes,
        perSecond,
        length,
        figures,
        weather,
        listDelay,
        deployment,
        means,
        faults);
  }

  Scenario shortened(double rate, long maxLength) {
    return new Scenario(
        seed,
        gateways,
        sets,
        boxes,
        perSecond * rate,
        Math.min(length, maxLength),
        figures,
        weather,
        listDelay,
        deployment,
        means,
        faults);
  }
}

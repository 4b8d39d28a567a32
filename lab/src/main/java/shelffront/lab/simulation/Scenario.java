package shelffront.lab.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import shelffront.lab.model.ReplicaSetParameters;
import shelffront.lab.virtual.VirtualNetwork.Weather;

/**
 * A run of the virtual fleet: everything in it follows from this. Drawn from a seed, and cut down
 * to find the least of it that still fails. Times are microseconds from the start.
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

  /** What goes wrong. */
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

  /** One fault: when, what, which one of those there are, and for how long. */
  public record Fault(long at, FaultKind kind, int target, long time) {

    @Override
    public String toString() {
      return String.format(
          Locale.ROOT, "%.3fs %s %d for %.3fs", at / 1e6, kind, target, time / 1e6);
    }
  }

  /**
   * What a gateway's process has and costs.
   *
   * @param sockets descriptors
   * @param work microseconds of its one core for each request, attempt, probe, connection and list
   * @param pauses a second, of 5 to 60 ms each, as of a collector
   * @param tenants of a hosted gateway; 0 for the single one of a platform's file
   * @param loops event loops of a hosted gateway
   * @param connections that its clients open at most to ask what is due; without one a request is
   *     not asked
   */
  public record Means(
      int sockets, long work, double pauses, int tenants, int loops, int connections) {

    private static final int CONNECTIONS = 150;

    public static final Means PLAIN = new Means(1024, 0, 0, 0, 1, CONNECTIONS);

    /** A hosted gateway. */
    public static Means hosted(int tenants, int loops) {
      return new Means(2048, 0, 0, tenants, loops, CONNECTIONS);
    }
  }

  private static final long MICROS_PER_SECOND = 1_000_000;

  /** By a seed alone; the rate is that of all gateways together. */
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
    // Half the boxes' capacity at the most on most days: a replica serves reads, the primary writes
    // too.
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

  Scenario withFaults(List<Fault> next) {
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
        List.copyOf(next));
  }

  /** The same day on another deployment. */
  public Scenario withDeployment(RandomDeployment other) {
    return new Scenario(
        seed, gateways, sets, boxes, perSecond, length, figures, weather, listDelay, other, means,
        faults);
  }

  /** The same day by another seed. */
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

  Scenario shortened(double rate, long shorter) {
    return new Scenario(
        seed,
        gateways,
        sets,
        boxes,
        perSecond * rate,
        Math.min(length, shorter),
        figures,
        weather,
        listDelay,
        deployment,
        means,
        faults);
  }
}

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
    UniformRandomProvider r = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    int gateways = 1 + r.nextInt(4);
    int sets = 1 + r.nextInt(2);
    int boxes = 2 + r.nextInt(3);
    long length = (6 + r.nextInt(10)) * MICROS_PER_SECOND;
    ReplicaSetParameters.Check check = ReplicaSetParameters.Check.values()[r.nextInt(3)];
    int cores = 2 + r.nextInt(7);
    long work = 1_000 + r.nextInt(12_000);
    double load = 0.15 + 1.1 * r.nextDouble() * r.nextDouble();
    ReplicaSetParameters figures =
        new ReplicaSetParameters(
            cores,
            8 + r.nextInt(60),
            40 + r.nextInt(200),
            work,
            work * 2,
            0.2 + r.nextDouble(),
            300 + r.nextInt(3_000),
            500 + r.nextInt(40_000),
            100 + r.nextInt(1500),
            0.21,
            18 * MICROS_PER_SECOND,
            MICROS_PER_SECOND + r.nextInt((int) (3 * MICROS_PER_SECOND)),
            200_000 + r.nextInt((int) MICROS_PER_SECOND),
            2 * MICROS_PER_SECOND,
            check,
            50_000,
            4,
            2 * MICROS_PER_SECOND,
            r.nextInt(4) == 0);
    Weather weather =
        new Weather(
            100 + r.nextInt(900), r.nextInt(2_000), r.nextInt(3) == 0 ? 0 : r.nextDouble() / 2);
    // Half the boxes' capacity at the most on most days: a replica serves reads, the primary writes
    // too.
    double perSecond = load * sets * boxes * cores * 1e6 / (work * 1.4);
    List<Fault> faults = new ArrayList<>();
    int count = r.nextInt(9);
    for (int i = 0; i < count; i++) {
      FaultKind kind = FaultKind.values()[r.nextInt(FaultKind.values().length)];
      faults.add(
          new Fault(
              MICROS_PER_SECOND / 2 + r.nextLong(length - MICROS_PER_SECOND),
              kind,
              r.nextInt(100),
              50_000 + r.nextLong(4 * MICROS_PER_SECOND)));
    }
    long listDelay = 200_000 + r.nextInt((int) (2 * MICROS_PER_SECOND));
    boolean onceWrites = r.nextInt(3) == 0;
    Means means =
        new Means(
            r.nextInt(4) == 0 ? 256 : 1024,
            r.nextInt(2) == 0 ? 0 : 10 + r.nextInt(90),
            r.nextInt(3) == 0 ? r.nextDouble() : 0,
            Math.max(0, r.nextInt(8) - 4),
            1 + r.nextInt(3),
            Means.CONNECTIONS);
    return new Scenario(
        seed,
        gateways,
        sets,
        boxes,
        Math.min(600, perSecond),
        length,
        figures,
        weather,
        listDelay,
        RandomDeployment.draw(r, onceWrites),
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

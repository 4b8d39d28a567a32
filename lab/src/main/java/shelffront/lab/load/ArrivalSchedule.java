package shelffront.lab.load;

import java.util.Locale;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/**
 * When requests are due, set beforehand whatever becomes of them: evenly, by chance (Poisson), in
 * waves, or in bursts, as when a gate changes and a terminal wakes at once. Times are microseconds
 * from the start; no clock.
 */
public final class ArrivalSchedule {

  /**
   * How they come. Waves swing by eight tenths over ten seconds; a burst is a tenth of a second
   * each two.
   */
  public enum Pattern {
    EVEN,
    POISSON,
    WAVES,
    BURSTS;

    /** By its name in small letters. */
    public static Pattern of(String name) {
      return valueOf(name.toUpperCase(Locale.ROOT));
    }
  }

  private static final double WAVE_MICROS = 10e6;
  private static final double SWING = 0.8;
  private static final double BURST_PERIOD_MICROS = 2e6;
  private static final double BURST_MICROS = 0.1e6;
  private static final double BURST_FRACTION = 0.5; // of all requests come in bursts

  private final Pattern pattern;
  private final double perSecond;
  private final ZigguratSampler.Exponential gaps;
  private double atMicros;

  public ArrivalSchedule(Pattern pattern, double perSecond, UniformRandomProvider random) {
    this.pattern = pattern;
    this.perSecond = perSecond;
    gaps = ZigguratSampler.Exponential.of(random);
  }

  /** When the next one is due; never before the one before it. */
  public long nextMicros() {
    double rate = perSecond / 1e6;
    switch (pattern) {
      case EVEN -> atMicros += 1 / rate;
      case POISSON -> atMicros += gaps.sample() / rate;
      default -> {
        // A Poisson process whose rate changes: one draw of unit mean, used up as the rate's
        // integral grows.
        double left = gaps.sample();
        while (left > 0) {
          double now = rateFactor(atMicros) * rate;
          double until = stretchEndMicros(atMicros);
          if (now * (until - atMicros) >= left) {
            atMicros += left / now;
            left = 0;
          } else {
            left -= now * (until - atMicros);
            atMicros = until;
          }
        }
      }
    }
    return (long) atMicros;
  }

  /** How many times the mean rate it is at a time. */
  double rateFactor(double time) {
    if (pattern == Pattern.WAVES) {
      return 1 + SWING * Math.sin(2 * Math.PI * time / WAVE_MICROS);
    }
    boolean bursting = time % BURST_PERIOD_MICROS < BURST_MICROS;
    return bursting
        ? BURST_FRACTION * BURST_PERIOD_MICROS / BURST_MICROS
        : (1 - BURST_FRACTION) * BURST_PERIOD_MICROS / (BURST_PERIOD_MICROS - BURST_MICROS);
  }

  /** The end of the stretch of time, from one on, in which the rate is taken as the same. */
  private double stretchEndMicros(double time) {
    if (pattern == Pattern.WAVES) {
      return (Math.floor(time / 1e4) + 1) * 1e4;
    }
    double offset = time % BURST_PERIOD_MICROS;
    return time - offset + (offset < BURST_MICROS ? BURST_MICROS : BURST_PERIOD_MICROS);
  }
}

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

  private static final double WAVE = 10e6;
  private static final double SWING = 0.8;
  private static final double BURST_EVERY = 2e6;
  private static final double BURST_LENGTH = 0.1e6;
  private static final double BURST_PART = 0.5; // of all requests come in bursts

  private final Pattern pattern;
  private final double perSecond;
  private final ZigguratSampler.Exponential gaps;
  private double at;

  public ArrivalSchedule(Pattern pattern, double perSecond, UniformRandomProvider random) {
    this.pattern = pattern;
    this.perSecond = perSecond;
    gaps = ZigguratSampler.Exponential.of(random);
  }

  /** When the next one is due; never before the one before it. */
  public long next() {
    double rate = perSecond / 1e6;
    switch (pattern) {
      case EVEN -> at += 1 / rate;
      case POISSON -> at += gaps.sample() / rate;
      default -> {
        // A Poisson process whose rate changes: one draw of unit mean, used up as the rate's
        // integral grows.
        double left = gaps.sample();
        while (left > 0) {
          double now = factor(at) * rate;
          double until = boundary(at);
          if (now * (until - at) >= left) {
            at += left / now;
            left = 0;
          } else {
            left -= now * (until - at);
            at = until;
          }
        }
      }
    }
    return (long) at;
  }

  /** How many times the mean rate it is at a time. */
  double factor(double time) {
    if (pattern == Pattern.WAVES) {
      return 1 + SWING * Math.sin(2 * Math.PI * time / WAVE);
    }
    boolean bursting = time % BURST_EVERY < BURST_LENGTH;
    return bursting
        ? BURST_PART * BURST_EVERY / BURST_LENGTH
        : (1 - BURST_PART) * BURST_EVERY / (BURST_EVERY - BURST_LENGTH);
  }

  /** The end of the stretch of time, from one on, in which the rate is taken as the same. */
  private double boundary(double time) {
    if (pattern == Pattern.WAVES) {
      return (Math.floor(time / 1e4) + 1) * 1e4;
    }
    double in = time % BURST_EVERY;
    return time - in + (in < BURST_LENGTH ? BURST_LENGTH : BURST_EVERY);
  }
}

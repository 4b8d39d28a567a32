package shelffront.lab.load;

import java.util.Locale;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/**
 * Due times of open-loop requests, which do not depend on how earlier requests end. The arrival
 * process is uniform, Poisson, Poisson with a sinusoidal rate, or Poisson with bursts, as when a
 * gate change makes many clients send requests at once. Times are microseconds from the start; the
 * schedule reads no clock. Not thread-safe.
 */
public final class ArrivalSchedule {

  /**
   * The arrival process. The rate of {@code WAVES} varies by ±80 % of the mean with a period of 10
   * s; {@code BURSTS} has a burst of 100 ms every 2 s.
   */
  public enum Pattern {
    EVEN,
    POISSON,
    WAVES,
    BURSTS;

    /**
     * Returns the pattern of this name, ignoring case.
     *
     * @throws IllegalArgumentException if no pattern has this name
     */
    public static Pattern of(String name) {
      return valueOf(name.toUpperCase(Locale.ROOT));
    }
  }

  private static final double WAVE_PERIOD_MICROS = 10e6;
  private static final double WAVE_AMPLITUDE = 0.8;
  private static final double BURST_PERIOD_MICROS = 2e6;
  private static final double BURST_MICROS = 0.1e6;
  private static final double BURST_FRACTION = 0.5; // of all requests are due in bursts

  private final Pattern pattern;
  private final double perSecond;
  private final ZigguratSampler.Exponential unitExponential;
  private double atMicros;

  public ArrivalSchedule(Pattern pattern, double perSecond, UniformRandomProvider random) {
    this.pattern = pattern;
    this.perSecond = perSecond;
    unitExponential = ZigguratSampler.Exponential.of(random);
  }

  /** Returns the due time of the next request; due times never decrease. */
  public long nextMicros() {
    double rate = perSecond / 1e6;
    switch (pattern) {
      case EVEN -> atMicros += 1 / rate;
      case POISSON -> atMicros += unitExponential.sample() / rate;
      default -> {
        // Inhomogeneous Poisson process: the next arrival is where the integral of the rate since
        // the previous one reaches an exponential sample of mean 1.
        double remaining = unitExponential.sample();
        while (remaining > 0) {
          double now = rateFactor(atMicros) * rate;
          double intervalEnd = constantRateEndMicros(atMicros);
          if (now * (intervalEnd - atMicros) >= remaining) {
            atMicros += remaining / now;
            remaining = 0;
          } else {
            remaining -= now * (intervalEnd - atMicros);
            atMicros = intervalEnd;
          }
        }
      }
    }
    return (long) atMicros;
  }

  /** Returns the rate at a time as a multiple of the mean rate. */
  double rateFactor(double time) {
    if (pattern == Pattern.WAVES) {
      return 1 + WAVE_AMPLITUDE * Math.sin(2 * Math.PI * time / WAVE_PERIOD_MICROS);
    }
    boolean bursting = time % BURST_PERIOD_MICROS < BURST_MICROS;
    return bursting
        ? BURST_FRACTION * BURST_PERIOD_MICROS / BURST_MICROS
        : (1 - BURST_FRACTION) * BURST_PERIOD_MICROS / (BURST_PERIOD_MICROS - BURST_MICROS);
  }

  /** Returns the end of the interval around a time in which the rate is treated as constant. */
  private double constantRateEndMicros(double time) {
    if (pattern == Pattern.WAVES) {
      return (Math.floor(time / 1e4) + 1) * 1e4;
    }
    double offset = time % BURST_PERIOD_MICROS;
    return time - offset + (offset < BURST_MICROS ? BURST_MICROS : BURST_PERIOD_MICROS);
  }
}

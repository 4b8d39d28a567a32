package shelffront.lab.experiment;

import java.util.Arrays;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Bootstrap confidence intervals (Efron, 1979): the interval covers 95 % of the means of samples
 * drawn with replacement. The seed is fixed, so the same figures give the same interval.
 */
final class BootstrapInterval {

  private static final int RESAMPLE_COUNT = 2_000;

  /** A mean, or a difference of means, with the bounds of its 95 % interval. */
  record Interval(double low, double mean, double high) {}

  private BootstrapInterval() {}

  /** Returns the interval of the mean of at least one figure. */
  static Interval mean(double[] figures) {
    return interval(figures, new double[] {0});
  }

  /** Returns the interval of the mean of the first figures minus the mean of the second. */
  static Interval difference(double[] first, double[] second) {
    return interval(first, second);
  }

  private static Interval interval(double[] first, double[] second) {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(20L);
    double[] means = new double[RESAMPLE_COUNT];
    for (int i = 0; i < RESAMPLE_COUNT; i++) {
      means[i] = resampledMean(first, random) - resampledMean(second, random);
    }
    Arrays.sort(means);
    return new Interval(
        means[RESAMPLE_COUNT / 40],
        average(first) - average(second),
        means[RESAMPLE_COUNT - 1 - RESAMPLE_COUNT / 40]);
  }

  private static double resampledMean(double[] figures, UniformRandomProvider random) {
    double sum = 0;
    for (int i = 0; i < figures.length; i++) {
      sum += figures[random.nextInt(figures.length)];
    }
    return sum / figures.length;
  }

  private static double average(double[] figures) {
    return Arrays.stream(figures).average().orElse(0);
  }
}

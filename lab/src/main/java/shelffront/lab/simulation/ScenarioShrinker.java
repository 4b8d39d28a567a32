package shelffront.lab.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Predicate;
import shelffront.lab.simulation.Scenario.Fault;

/** Reduces a failing scenario: fewer faults, a shorter run, a lower request rate. */
public final class ScenarioShrinker {

  /**
   * A reduction of the scenario of a seed.
   *
   * @param faults indexes of the kept faults
   * @param rate factor for the request rate
   * @param length maximum length of the run, in microseconds
   */
  public record Cut(List<Integer> faults, double rate, long length) {

    /** Returns the reduced scenario of a seed. */
    public Scenario of(long seed) {
      Scenario whole = Scenario.draw(seed);
      List<Fault> kept = new ArrayList<>();
      faults.forEach(i -> kept.add(whole.faults().get(i)));
      return whole.withFaults(kept).shortened(rate, length);
    }

    /** Returns the command line that runs the reduced scenario. */
    public String command(long seed) {
      return String.format(
          Locale.ROOT,
          "java -jar lab/target/shelffront-lab.jar replay %d --faults %s --rate %s"
              + " --seconds %s",
          seed,
          faults.isEmpty()
              ? "none"
              : String.join(",", faults.stream().map(String::valueOf).toList()),
          rate,
          length / 1e6);
    }
  }

  private static final int MAX_RUNS = 60;

  private ScenarioShrinker() {}

  /** Returns the reduction that keeps the complete scenario of a seed. */
  public static Cut whole(long seed) {
    Scenario whole = Scenario.draw(seed);
    List<Integer> all = new ArrayList<>();
    for (int i = 0; i < whole.faults().size(); i++) {
      all.add(i);
    }
    return new Cut(List.copyOf(all), 1, whole.length());
  }

  /**
   * Reduces a failing scenario while it still fails, with a bounded number of runs. The complete
   * scenario must fail.
   */
  public static Cut shrink(long seed, Predicate<Scenario> fails) {
    Cut best = whole(seed);
    int runs = 0;
    boolean reduced = true;
    while (reduced && runs < MAX_RUNS) {
      reduced = false;
      for (Cut next : smallerCuts(best)) {
        if (runs++ >= MAX_RUNS) {
          break;
        }
        if (fails.test(next.of(seed))) {
          best = next;
          reduced = true;
          break;
        }
      }
    }
    return best;
  }

  private static List<Cut> smallerCuts(Cut from) {
    List<Cut> all = new ArrayList<>();
    if (from.length() > 1_000_000) {
      all.add(new Cut(from.faults(), from.rate(), from.length() / 2));
      all.add(new Cut(from.faults(), from.rate(), from.length() * 3 / 4));
    }
    for (int i = from.faults().size() - 1; i >= 0; i--) {
      List<Integer> fewer = new ArrayList<>(from.faults());
      fewer.remove(i);
      all.add(new Cut(List.copyOf(fewer), from.rate(), from.length()));
    }
    if (from.rate() > 0.02) {
      all.add(new Cut(from.faults(), from.rate() / 2, from.length()));
    }
    return all;
  }
}

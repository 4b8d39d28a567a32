package shelffront.lab.load;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** What became of a load. */
public final class LoadResult {

  private static final long LONGEST_LATENCY_MICROS = 60_000_000;
  private static final int LATENCY_DIGITS = 3;

  /**
   * Value that was due, and served on time, in one window of {@link OpenLoopLoad#WINDOW_MICROS}.
   */
  public static final class Window {

    double due;
    double served;

    public double due() {
      return due;
    }

    public double served() {
      return served;
    }
  }

  public final RequestOutcomes total = new RequestOutcomes();
  public final Map<String, RequestOutcomes> byKind = new LinkedHashMap<>();
  public final List<Window> windows = new ArrayList<>();

  /** From when a request was due to the end of an answer that served. */
  public final Histogram latencyMicros = new Histogram(LONGEST_LATENCY_MICROS, LATENCY_DIGITS);

  /** From when a request was due until the load came to it: how far the tool lagged behind. */
  public final Histogram lagMicros = new Histogram(LONGEST_LATENCY_MICROS, LATENCY_DIGITS);

  /** Requests that waited because every connection was busy. */
  public long waitedCount;

  /** Responses with another's value, to nothing, or unreadable. */
  public final List<String> malformedResponses = new ArrayList<>();

  public double servedValueFraction() {
    return total.servedValueFraction();
  }

  /** The least part of the value due that was served in a window. */
  public double worstWindow() {
    return windows.stream()
        .filter(window -> window.due > 0)
        .mapToDouble(window -> window.served / window.due)
        .min()
        .orElse(1);
  }

  /** The least part of the value due that was served of a kind. */
  public double worstKind() {
    return byKind.values().stream()
        .mapToDouble(RequestOutcomes::servedValueFraction)
        .min()
        .orElse(1);
  }
}

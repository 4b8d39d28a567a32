package shelffront.lab.load;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** Outcomes and latencies of a load. Written on the transport's thread while the load runs. */
public final class LoadResult {

  private static final long MAX_LATENCY_MICROS = 60_000_000;
  private static final int LATENCY_SIGNIFICANT_DIGITS = 3;

  /**
   * Priority weight of the requests due, and of those served on time, in one window of {@link
   * OpenLoopLoad#WINDOW_MICROS}. A request counts in the window of its due time.
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

  /** Time from when a request was due to the end of its successful response. */
  public final Histogram latencyMicros =
      new Histogram(MAX_LATENCY_MICROS, LATENCY_SIGNIFICANT_DIGITS);

  /** Time from when a request was due until the load generator handled it: the generator's lag. */
  public final Histogram lagMicros = new Histogram(MAX_LATENCY_MICROS, LATENCY_SIGNIFICANT_DIGITS);

  /** Number of requests that waited because every connection was busy. */
  public long waitedCount;

  /**
   * Descriptions of responses that carry the value of another request, belong to no request or
   * cannot be parsed.
   */
  public final List<String> malformedResponses = new ArrayList<>();

  public double servedValueFraction() {
    return total.servedValueFraction();
  }

  /** Returns the smallest fraction of the due value that was served on time in any window. */
  public double worstWindow() {
    return windows.stream()
        .filter(window -> window.due > 0)
        .mapToDouble(window -> window.served / window.due)
        .min()
        .orElse(1);
  }

  /** Returns the smallest fraction of the due value that was served on time of any kind. */
  public double worstKind() {
    return byKind.values().stream()
        .mapToDouble(RequestOutcomes::servedValueFraction)
        .min()
        .orElse(1);
  }
}

package shelffront.lab.experiment;

import java.io.PrintStream;
import java.util.Locale;

/**
 * Shows the progress of an experiment's runs on standard error, if the process has a terminal.
 * Thread-safe.
 */
final class ProgressBar {

  private static final int WIDTH_CHARACTERS = 40;

  private final PrintStream out = System.console() == null ? null : System.err;
  private final int total;
  private final long startNanos = System.nanoTime();
  private int done;

  ProgressBar(int total) {
    this.total = total;
  }

  /** Counts a finished run and redraws the bar. */
  synchronized void runFinished() {
    done++;
    if (out != null) {
      double tookSeconds = (System.nanoTime() - startNanos) / 1e9;
      int filled = WIDTH_CHARACTERS * done / total;
      out.printf(
          Locale.ROOT,
          "\r[%s%s] %d of %d runs, %.0f s left %s",
          "#".repeat(filled),
          ".".repeat(WIDTH_CHARACTERS - filled),
          done,
          total,
          tookSeconds / done * (total - done),
          done == total ? "\n" : "");
      out.flush();
    }
  }
}

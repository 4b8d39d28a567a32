package shelffront.lab.experiment;

import java.io.PrintStream;
import java.util.Locale;

/**
 * Shows the progress of an experiment's runs on standard error, if the process has a terminal.
 * Thread-safe.
 */
final class ProgressBar {

  private static final int WIDTH = 40;

  private final PrintStream out = System.console() == null ? null : System.err;
  private final int all;
  private final long begun = System.nanoTime();
  private int done;

  ProgressBar(int all) {
    this.all = all;
  }

  /** Counts a finished run and redraws the bar. */
  synchronized void one() {
    done++;
    if (out != null) {
      double tookSeconds = (System.nanoTime() - begun) / 1e9;
      int filled = WIDTH * done / all;
      out.printf(
          Locale.ROOT,
          "\r[%s%s] %d of %d runs, %.0f s left %s",
          "#".repeat(filled),
          ".".repeat(WIDTH - filled),
          done,
          all,
          tookSeconds / done * (all - done),
          done == all ? "\n" : "");
      out.flush();
    }
  }
}

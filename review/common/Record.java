package review.common;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes the record of a test: what was sent, answered and run, with the time since the start of the test. */
public final class Record implements AutoCloseable {

  private final PrintWriter out;
  private final long startMicros = Clock.micros();

  public Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  public void line(String format, Object... arguments) {
    at(Clock.micros(), format, arguments);
  }

  public synchronized void at(long micros, String format, Object... arguments) {
    out.printf(
        Locale.ROOT,
        "%10.3f ms  %s%n",
        (micros - startMicros) / 1000.0,
        String.format(Locale.ROOT, format, arguments));
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}

package shelffront.lab.simulation;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.function.Consumer;
import shelffront.lab.model.Clock;

/**
 * The events of a run in their order, one line each, and a hash over all of them. Two runs with the
 * same hash are the same run.
 */
final class EventTrace {

  private final Clock clock;
  private final long startMicros;
  private final Consumer<String> listener;
  private final MessageDigest digest;

  EventTrace(Clock clock, long startMicros, Consumer<String> listener) {
    this.clock = clock;
    this.startMicros = startMicros;
    this.listener = listener;
    try {
      digest = MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }

  void record(String event, String subject) {
    record(event, subject, "", "");
  }

  void record(String event, String subject, String detail) {
    record(event, subject, detail, "");
  }

  void record(String event, String subject, String detail, String moreDetail) {
    long elapsedMicros = clock.nowMicros() - startMicros;
    String line = elapsedMicros + " " + event + " " + subject + " " + detail + " " + moreDetail;
    digest.update(line.getBytes(UTF_8));
    listener.accept(line);
  }

  /** The hash over all lines so far, in hexadecimal; ends the trace. */
  String hash() {
    return HexFormat.of().formatHex(digest.digest());
  }
}

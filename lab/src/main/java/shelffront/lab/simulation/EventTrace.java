package shelffront.lab.simulation;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.function.Consumer;
import shelffront.lab.model.Clock;

/**
 * Records the events of a run in order, one line each, and hashes all lines. Two runs with equal
 * hashes had identical events.
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
      throw new IllegalStateException(
          "SHA-256 is not available, although every Java platform must provide it", e);
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

  /**
   * Returns the hexadecimal hash over all lines and resets the digest; call it once, at the end.
   */
  String hash() {
    return HexFormat.of().formatHex(digest.digest());
  }
}

package shelffront.rolloutcontrol;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import shelffront.rollout.RolloutState;

/**
 * Writes which stage came into force at this gateway and when, as one JSON object per line. The
 * histories of a fleet can be compared to check that only adjacent stages were in force together.
 * Times are microseconds of this machine's monotonic clock. Each line is flushed to the file before
 * the method returns; otherwise the method throws an {@link UncheckedIOException}. Thread-safe.
 */
public final class RolloutHistory implements AutoCloseable {

  private static final ObjectMapper JSON = new ObjectMapper();

  private final Writer out; // null if recording is disabled

  private RolloutHistory(Writer out) {
    this.out = out;
  }

  /** Opens a history that appends to the file, or one that records nothing if it is null. */
  public static RolloutHistory appendingTo(Path file) throws IOException {
    return new RolloutHistory(
        file == null
            ? null
            : Files.newBufferedWriter(file, StandardOpenOption.CREATE, StandardOpenOption.APPEND));
  }

  /** Records the state in force from now until a time; a null state is the safe stage. */
  void recordInForce(
      String instance, String subject, RolloutState state, long untilMicros, long nowMicros) {
    ObjectNode line = line(nowMicros, instance, state == null ? "safe" : "force", subject, state);
    if (state != null) {
      line.put("until", untilMicros);
    }
    write(line);
  }

  /** Records that this gateway, as the leader, advanced a subject. */
  void recordAdvance(String instance, String subject, RolloutState newState, long nowMicros) {
    write(line(nowMicros, instance, "move", subject, newState));
  }

  private static ObjectNode line(
      long nowMicros, String instance, String event, String subject, RolloutState state) {
    ObjectNode line =
        JSON.createObjectNode()
            .put("at", nowMicros)
            .put("who", instance)
            .put("what", event)
            .put("subject", subject);
    return state == null ? line : line.put("epoch", state.epoch()).put("stage", state.stage());
  }

  private synchronized void write(ObjectNode line) {
    if (out == null) {
      return;
    }
    try {
      out.write(line + "\n");
      out.flush();
    } catch (IOException e) {
      throw new UncheckedIOException("cannot write to the rollout history file: " + line, e);
    }
  }

  @Override
  public synchronized void close() {
    try {
      if (out != null) {
        out.close();
      }
    } catch (IOException e) {
      throw new UncheckedIOException("cannot close the rollout history file", e);
    }
  }
}

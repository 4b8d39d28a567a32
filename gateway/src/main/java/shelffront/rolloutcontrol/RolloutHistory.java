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
 * What came into force here and when, a JSON object a line, for whoever holds a fleet's histories
 * against each other. Times are microseconds of this machine's monotonic clock. A line is in the
 * file when its method returns; an {@link UncheckedIOException} says that it is not. Any thread may
 * call.
 */
public final class RolloutHistory implements AutoCloseable {

  private static final ObjectMapper JSON = new ObjectMapper();

  private final Writer out; // null: nothing is recorded

  private RolloutHistory(Writer out) {
    this.out = out;
  }

  /** Appends to the file; null: nowhere. */
  public static RolloutHistory appendingTo(Path file) throws IOException {
    return new RolloutHistory(
        file == null
            ? null
            : Files.newBufferedWriter(file, StandardOpenOption.CREATE, StandardOpenOption.APPEND));
  }

  /** What is in force from now until a time; a state of null: the safe stage. */
  void recordInForce(
      String instance, String subject, RolloutState state, long untilMicros, long nowMicros) {
    ObjectNode line = line(nowMicros, instance, state == null ? "safe" : "force", subject, state);
    if (state != null) {
      line.put("until", untilMicros);
    }
    write(line);
  }

  /** The leader has advanced a subject. */
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
      throw new UncheckedIOException("the history can't be written", e);
    }
  }

  @Override
  public synchronized void close() {
    try {
      if (out != null) {
        out.close();
      }
    } catch (IOException e) {
      throw new UncheckedIOException("the history can't be closed", e);
    }
  }
}

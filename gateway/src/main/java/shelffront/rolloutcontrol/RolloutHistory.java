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
 * file when its method returns.
 */
public final class RolloutHistory implements AutoCloseable {

  private static final ObjectMapper JSON = new ObjectMapper();

  private final Writer out; // null: nobody wants it

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

  void force(String who, String subject, RolloutState standing, long until, long now) {
    ObjectNode line = line(now, who, standing == null ? "safe" : "force", subject, standing);
    if (standing != null) {
      line.put("until", until);
    }
    write(line);
  }

  void moved(String who, String subject, RolloutState to, long now) {
    write(line(now, who, "move", subject, to));
  }

  private static ObjectNode line(
      long now, String who, String what, String subject, RolloutState standing) {
    ObjectNode line =
        JSON.createObjectNode()
            .put("at", now)
            .put("who", who)
            .put("what", what)
            .put("subject", subject);
    return standing == null
        ? line
        : line.put("epoch", standing.epoch()).put("stage", standing.stage());
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

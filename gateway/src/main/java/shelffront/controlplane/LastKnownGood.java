package shelffront.controlplane;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import shelffront.controlplane.DistributionException.DistributionGarbled;
import shelffront.distribution.RecordChange;
import shelffront.distribution.Version;

/**
 * What a gateway last had in force, in a file of its own, so that it serves on after a restart
 * while nothing answers. The file is replaced as a whole: after a crash it holds the old state or
 * the new one.
 */
final class LastKnownGood {

  private static final String FORMAT = "shelffront-last-known-good-1";

  /** The records in force, and the version of the view that they belong to. */
  record Kept(Version version, List<RecordChange> records) {}

  private final Path file;

  LastKnownGood(Path file) {
    this.file = file;
  }

  /** Null where there is no file yet. */
  Kept read() throws IOException, DistributionGarbled {
    if (!Files.exists(file)) {
      return null;
    }
    JsonNode o = DistributionMessages.object(Files.readAllBytes(file));
    if (!o.path("format").asText().equals(FORMAT)) {
      throw new DistributionGarbled(file + " is not what a gateway had in force", null);
    }
    return new Kept(
        DistributionMessages.readVersion(o.path("version")),
        DistributionMessages.changes(o.path("records")));
  }

  void write(Kept kept) throws IOException {
    ObjectNode o = DistributionMessages.JSON.createObjectNode().put("format", FORMAT);
    DistributionMessages.put(o.putObject("version"), kept.version());
    DistributionMessages.putChanges(o.putArray("records"), kept.records());
    Path next = file.resolveSibling(file.getFileName() + ".next");
    Files.write(next, DistributionMessages.bytes(o));
    try (FileChannel channel = FileChannel.open(next, StandardOpenOption.WRITE)) {
      channel.force(true);
    }
    Files.move(next, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }
}

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
 * The file with what a gateway last had in force, so that it serves on after a restart while
 * nothing answers. Invariant: the file is replaced as a whole; after a crash it holds the old state
 * or the new one. Threads: one at a time.
 */
final class LastKnownGood {

  private static final String FORMAT = "shelffront-last-known-good-1";

  /** The records in force, and the version of the view that they belong to. */
  record Contents(Version version, List<RecordChange> records) {}

  private final Path file;

  LastKnownGood(Path file) {
    this.file = file;
  }

  /** Null where there is no file yet. */
  Contents read() throws IOException, DistributionGarbled {
    if (!Files.exists(file)) {
      return null;
    }
    JsonNode json = DistributionJson.parseObject(Files.readAllBytes(file));
    if (!json.path("format").asText().equals(FORMAT)) {
      throw new DistributionGarbled(file + " is not what a gateway had in force", null);
    }
    return new Contents(
        DistributionJson.readVersion(json.path("version")),
        DistributionJson.readChanges(json.path("records")));
  }

  void write(Contents contents) throws IOException {
    ObjectNode json = DistributionJson.newObject().put("format", FORMAT);
    DistributionJson.putVersion(json.putObject("version"), contents.version());
    DistributionJson.putChanges(json.putArray("records"), contents.records());
    Path next = file.resolveSibling(file.getFileName() + ".next");
    Files.write(next, DistributionJson.bytes(json));
    try (FileChannel channel = FileChannel.open(next, StandardOpenOption.WRITE)) {
      channel.force(true);
    }
    Files.move(next, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }
}

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
 * The file with the records that a gateway last had in force, from which it serves after a restart
 * while no distributor responds.
 *
 * <p>Invariant: the file is replaced atomically; after a crash it holds either the old or the new
 * contents.
 *
 * <p>Threads: not thread-safe.
 */
final class LastKnownGood {

  private static final String FORMAT = "shelffront-last-known-good-1";

  /** The records in force and the version of the view that contains them. */
  record Contents(Version version, List<RecordChange> records) {}

  private final Path file;

  LastKnownGood(Path file) {
    this.file = file;
  }

  /** Reads the file; null if it does not exist. */
  Contents read() throws IOException, DistributionGarbled {
    if (!Files.exists(file)) {
      return null;
    }
    JsonNode json = DistributionJson.parseObject(Files.readAllBytes(file));
    if (!json.path("format").asText().equals(FORMAT)) {
      throw new DistributionGarbled(
          file + " has format " + json.path("format") + ", expected \"" + FORMAT + "\"", null);
    }
    return new Contents(
        DistributionJson.readVersion(json.path("version")),
        DistributionJson.readChanges(json.path("records")));
  }

  void write(Contents contents) throws IOException {
    ObjectNode json = DistributionJson.newObject().put("format", FORMAT);
    DistributionJson.putVersion(json.putObject("version"), contents.version());
    DistributionJson.putChanges(json.putArray("records"), contents.records());
    Path temporaryFile = file.resolveSibling(file.getFileName() + ".next");
    Files.write(temporaryFile, DistributionJson.bytes(json));
    try (FileChannel channel = FileChannel.open(temporaryFile, StandardOpenOption.WRITE)) {
      channel.force(true);
    }
    Files.move(
        temporaryFile, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }
}

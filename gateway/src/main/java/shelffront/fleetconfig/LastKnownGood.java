package shelffront.fleetconfig;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import shelffront.distribution.Change;
import shelffront.distribution.Version;
import shelffront.fleetconfig.DistributionException.DistributionGarbled;

/**
 * What a gateway last had in force, in a file of its own, so that it serves on after a restart
 * while nothing answers. The file is replaced as a whole: after a crash it holds the old state or
 * the new one.
 */
final class LastKnownGood {

  private static final String FORMAT = "shelffront-last-known-good-1";

  /** The records in force, and the version of the view that they belong to. */
  record Kept(Version version, List<Change> records) {}

  private final Path file;

  LastKnownGood(Path file) {
    this.file = file;
  }

  /** Null where there is no file yet. */
  Kept read() throws IOException, DistributionGarbled {
    if (!Files.exists(file)) {
      return null;
    }
    JsonNode o = Messages.object(Files.readAllBytes(file));
    if (!o.path("format").asText().equals(FORMAT)) {
      throw new DistributionGarbled(file + " is not what a gateway had in force", null);
    }
    return new Kept(Messages.readVersion(o.path("version")), Messages.changes(o.path("records")));
  }

  void write(Kept kept) throws IOException {
    ObjectNode o = Messages.JSON.createObjectNode().put("format", FORMAT);
    Messages.put(o.putObject("version"), kept.version());
    Messages.putChanges(o.putArray("records"), kept.records());
    Path next = file.resolveSibling(file.getFileName() + ".next");
    Files.write(next, Messages.bytes(o));
    try (FileChannel channel = FileChannel.open(next, StandardOpenOption.WRITE)) {
      channel.force(true);
    }
    Files.move(next, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }
}

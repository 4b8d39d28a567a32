package shelffront.controlplane;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import shelffront.compatibility.StoredResource;
import shelffront.distribution.RecordChange;
import shelffront.distribution.Version;

/** Reads and writes the last-known-good file as version 0.2.0 wrote it. */
class LastKnownGoodCompatibilityTest {

  private static final long INCARNATION = 1_700_000_000_000L;
  private static final long EARLIER_INCARNATION = 1_699_000_000_000L;
  private static final LastKnownGood.Contents STORED =
      new LastKnownGood.Contents(
          new Version(INCARNATION, 42),
          List.of(
              new RecordChange(
                  new Version(INCARNATION, 17),
                  "airport",
                  "{\"id\":\"airport\",\"weight\":3,"
                      + "\"classes\":[{\"name\":\"read\",\"giveUpMs\":1200,\"read\":\"any\"}],"
                      + "\"boxes\":{\"discovery\":\"127.0.0.1:8500\"}}"),
              new RecordChange(new Version(INCARNATION, 42), "harbour", null),
              new RecordChange(
                  new Version(EARLIER_INCARNATION, 5),
                  "town-h\u00e4ll \"x\"",
                  "{\"text\":\"\u00e4\u00f6\\n\\\\ \u20ac\"}")));

  @TempDir private Path directory;

  @Test
  void readsVersionAndRecordsInForce() throws Exception {
    Path file = StoredResource.copy("last-known-good.json", directory);
    assertEquals(STORED, new LastKnownGood(file).read());
  }

  @Test
  void writesTheSameBytes() throws Exception {
    Path before = StoredResource.copy("last-known-good.json", directory);
    Path written = directory.resolve("written.json");
    new LastKnownGood(written).write(STORED);
    assertArrayEquals(Files.readAllBytes(before), Files.readAllBytes(written));
  }
}

package shelffront.lab.compatibility;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.nio.file.Path;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import shelffront.controlplane.ChangeStore;
import shelffront.controlplane.ChangeStore.Head;
import shelffront.coordination.ConsulCoordinationStore;
import shelffront.distribution.RecordChange;
import shelffront.distribution.Version;
import shelffront.lab.LabMain;
import shelffront.lab.faultinjection.JavaProcess;

/** Guards the file format of the coordination store emulator: it serves files of version 0.2.0. */
class EngineFileCompatibilityTest {

  private static final int HEAP_MEGABYTES = 64;
  private static final Pattern LISTENS = Pattern.compile("listens on 127\\.0\\.0\\.1:([0-9]+)");

  private static final long FIRST = 1_796_289_759_131L;
  private static final long SECOND = 1_796_289_759_467L;
  private static final Head START_OF_SECOND =
      new Head(new Version(SECOND, 5), "7d81c531-be9e-4919-ae78-26c4670b929f", 7);

  private static final long FILLED = 1_796_289_774_188L;
  private static final Head FIRST_CHANGE_OF_FILLED =
      new Head(new Version(FILLED, 1), "1b28e3f9-0037-48bf-921d-cb02678f5750", 2);

  @TempDir private Path directory;

  private interface Check {

    void run(ChangeStore store) throws Exception;
  }

  private static String tenant(String id, int weight) {
    return "{\"id\":\""
        + id
        + "\",\"weight\":"
        + weight
        + ",\"classes\":[{\"name\":\"read\",\"giveUpMs\":1200,\"read\":\"any\"}],"
        + "\"boxes\":{\"discovery\":\"127.0.0.1:8500\"}}";
  }

  private static RecordChange change(
      long incarnation, long sequence, String name, String document) {
    return new RecordChange(new Version(incarnation, sequence), name, document);
  }

  /** Runs a check against a process that serves a file, and ends the process afterwards. */
  private void served(Path file, Check check) throws Exception {
    JavaProcess engine =
        JavaProcess.start(
            LabMain.class,
            HEAP_MEGABYTES,
            directory.resolve("engine.log"),
            "consul-stand-in",
            "--file",
            file.toString());
    try {
      String port =
          await()
              .atMost(Duration.ofSeconds(60))
              .until(() -> engine.found(LISTENS), Objects::nonNull);
      try (ChangeStore store =
          new ChangeStore(
              new ConsulCoordinationStore(
                  "127.0.0.1", Integer.parseInt(port), Duration.ofSeconds(20)),
              "maps")) {
        check.run(store);
      }
    } finally {
      engine.kill();
    }
  }

  @Test
  void servesRecordsAndChangeLog() throws Exception {
    Path file = StoredResource.copy("fleet-records.jsonl", directory);
    served(
        file,
        store -> {
          Head head = new Head(new Version(SECOND, 7), "c5d2fe29-6a3d-40c9-87e8-568e0d28a7a4", 9);
          assertEquals(head, store.head());
          assertEquals(change(FIRST, 4, "airport", tenant("airport", 3)), store.record("airport"));
          assertEquals(
              List.of(
                  change(SECOND, 4, "airport", tenant("airport", 3)),
                  change(SECOND, 7, "harbour", tenant("harbour", 7)),
                  change(SECOND, 6, "station", tenant("station", 5))),
              store.readAll().snapshot().records().stream()
                  .sorted(Comparator.comparing(RecordChange::name))
                  .toList());
          assertEquals(
              List.of(
                  change(SECOND, 6, "station", tenant("station", 5)),
                  change(SECOND, 7, "harbour", tenant("harbour", 7))),
              store.changesBetween(START_OF_SECOND, head));
        });
  }

  @Test
  void appendsToFileOfEmulator() throws Exception {
    Path file = StoredResource.copy("fleet-records.jsonl", directory);
    served(
        file,
        store ->
            assertEquals(
                new Version(SECOND, 8), store.write("station", 6, null, new Version(SECOND, 7))));
    served(
        file,
        store -> {
          assertNull(store.record("station"));
          assertEquals(10, store.head().index(), "one more than the last index of the file");
          assertEquals(
              List.of(
                  change(SECOND, 6, "station", tenant("station", 5)),
                  change(SECOND, 7, "harbour", tenant("harbour", 7)),
                  change(SECOND, 8, "station", null)),
              store.changesBetween(START_OF_SECOND, store.head()));
        });
  }

  @Test
  void servesFilePopulatedBeforeStart() throws Exception {
    Path file = StoredResource.copy("state-file-engine.jsonl", directory);
    served(
        file,
        store -> {
          Head head = new Head(new Version(FILLED, 4), "866189d1-ce3b-4afb-888a-754c35abc677", 5);
          assertEquals(head, store.head());
          assertEquals(
              List.of(change(FILLED, 3, "airport", tenant("airport", 3))),
              store.readAll().snapshot().records());
          assertEquals(
              List.of(
                  change(FILLED, 2, "harbour", tenant("harbour", 1)),
                  change(FILLED, 3, "airport", tenant("airport", 3)),
                  change(FILLED, 4, "harbour", null)),
              store.changesBetween(FIRST_CHANGE_OF_FILLED, head));
        });
  }
}

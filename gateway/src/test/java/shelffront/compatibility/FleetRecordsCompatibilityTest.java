package shelffront.compatibility;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import shelffront.controlplane.ChangeStore;
import shelffront.controlplane.ChangeStore.Head;
import shelffront.controlplane.DistributionException.EngineSteppedBack;
import shelffront.coordination.InMemoryCoordinationStore;
import shelffront.distribution.RecordChange;
import shelffront.distribution.Version;

/**
 * Reads the fleet records, change log and head that version 0.2.0 wrote to the coordination store.
 */
class FleetRecordsCompatibilityTest {

  private static final long FIRST = 1_796_289_759_131L;
  private static final long SECOND = 1_796_289_759_467L;
  private static final long LAST_INDEX_OF_FIRST = 6;
  private static final Head HEAD =
      new Head(new Version(SECOND, 7), "c5d2fe29-6a3d-40c9-87e8-568e0d28a7a4", 9);
  private static final Head HEAD_OF_FIRST =
      new Head(new Version(FIRST, 5), "41eea3be-91b3-47b2-a02a-c06ef4216c23", LAST_INDEX_OF_FIRST);
  private static final Head FIRST_CHANGE =
      new Head(new Version(FIRST, 1), "826c0dd2-0c56-47b3-baf1-32a91d008491", 2);
  private static final Head START_OF_SECOND =
      new Head(new Version(SECOND, 5), "7d81c531-be9e-4919-ae78-26c4670b929f", 7);

  @TempDir private Path directory;

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

  private ChangeStore store(long lastIndex) throws Exception {
    Path file = StoredResource.copy("fleet-records.jsonl", directory);
    return new ChangeStore(StoredEngine.asOf(lastIndex, file), "maps");
  }

  private ChangeStore store() throws Exception {
    return store(Long.MAX_VALUE);
  }

  @Test
  void readsHead() throws Exception {
    assertEquals(HEAD, store().head());
  }

  @Test
  void readsRecords() throws Exception {
    ChangeStore store = store();
    assertEquals(change(FIRST, 4, "airport", tenant("airport", 3)), store.record("airport"));
    assertEquals(change(SECOND, 7, "harbour", tenant("harbour", 7)), store.record("harbour"));
    assertEquals(change(SECOND, 6, "station", tenant("station", 5)), store.record("station"));
  }

  @Test
  void readsAllRecordsAsOfTheHead() throws Exception {
    ChangeStore.VersionedSnapshot read = store().readAll();
    assertEquals(HEAD, read.head());
    assertEquals(HEAD.version(), read.snapshot().version());
    List<RecordChange> records =
        read.snapshot().records().stream()
            .sorted(Comparator.comparing(RecordChange::name))
            .toList();
    assertEquals(
        List.of(
            change(SECOND, 4, "airport", tenant("airport", 3)),
            change(SECOND, 7, "harbour", tenant("harbour", 7)),
            change(SECOND, 6, "station", tenant("station", 5))),
        records);
  }

  @Test
  void readsChangeLogWithRemoval() throws Exception {
    ChangeStore store = store(LAST_INDEX_OF_FIRST);
    assertEquals(HEAD_OF_FIRST, store.head());
    assertNull(store.record("harbour"), "it was removed");
    assertEquals(
        List.of(
            change(FIRST, 2, "harbour", tenant("harbour", 1)),
            change(FIRST, 3, "station", tenant("station", 1)),
            change(FIRST, 4, "airport", tenant("airport", 3)),
            change(FIRST, 5, "harbour", null)),
        store.changesBetween(FIRST_CHANGE, HEAD_OF_FIRST));
  }

  @Test
  void readsChangeLogAfterNewIncarnation() throws Exception {
    ChangeStore store = store();
    assertEquals(
        List.of(
            change(SECOND, 6, "station", tenant("station", 5)),
            change(SECOND, 7, "harbour", tenant("harbour", 7))),
        store.changesBetween(START_OF_SECOND, HEAD));
    assertNull(store.changesBetween(HEAD_OF_FIRST, HEAD), "another incarnation needs all records");
  }

  @Test
  void detectsChangeLogThatDoesNotContinueTheKnownOne() throws Exception {
    ChangeStore store = store();
    Head other = new Head(new Version(SECOND, 6), "another-change", 8);
    assertThrows(EngineSteppedBack.class, () -> store.changesBetween(other, HEAD));
  }

  @Test
  void continuesTheChangeLog() throws Exception {
    ChangeStore store = store();
    Version written = store.write("airport", 4, tenant("airport", 9), HEAD.version());
    assertEquals(new Version(SECOND, 8), written);
    assertEquals(
        List.of(
            change(SECOND, 6, "station", tenant("station", 5)),
            change(SECOND, 7, "harbour", tenant("harbour", 7)),
            change(SECOND, 8, "airport", tenant("airport", 9))),
        store.changesBetween(START_OF_SECOND, store.head()));
  }

  /**
   * During an upgrade of a fleet, gateways of the previous version read what this version writes.
   */
  @Test
  void writesUnderTheSameKeys() throws Exception {
    Path file = StoredResource.copy("fleet-records.jsonl", directory);
    InMemoryCoordinationStore engine = StoredEngine.load(file);
    List<String> keysBefore = List.copyOf(engine.copy().keySet());
    try (ChangeStore store = new ChangeStore(engine, "maps")) {
      store.write("tower", 0, tenant("tower", 1), HEAD.version());
    }
    List<String> keysAdded =
        engine.copy().keySet().stream().filter(key -> !keysBefore.contains(key)).toList();
    assertEquals(
        List.of("shelffront/maps/config/log/0008", "shelffront/maps/config/record/tower"),
        keysAdded);
    assertEquals(keysBefore.size() + 2, engine.copy().size());
  }
}

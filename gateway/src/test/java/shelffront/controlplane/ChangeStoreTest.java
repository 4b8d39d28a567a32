package shelffront.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.Test;
import shelffront.controlplane.ChangeStore.Head;
import shelffront.controlplane.ChangeStore.RecordChanged;
import shelffront.controlplane.DistributionException.EngineSteppedBack;
import shelffront.coordination.InMemoryCoordinationStore;
import shelffront.distribution.RecordChange;
import shelffront.distribution.Version;

class ChangeStoreTest {

  private final InMemoryCoordinationStore engine = new InMemoryCoordinationStore();
  private final ChangeStore store = new ChangeStore(engine, "f");

  private Version put(String name, long expected, String document) throws Exception {
    return store.write(name, expected, document, Version.NONE);
  }

  @Test
  void writeAppliesOnlyToExpectedVersion() throws Exception {
    Version first = put("a", 0, "one");
    assertEquals(1, first.sequence());
    assertThrows(RecordChanged.class, () -> put("a", 0, "two"));
    Version second = put("a", 1, "two");
    RecordChanged error = assertThrows(RecordChanged.class, () -> put("a", 1, null));
    assertEquals("two", error.currentRecord().document());
    put("a", second.sequence(), null);
    assertNull(store.record("a"));
    assertThrows(RecordChanged.class, () -> put("a", 3, "four"));
  }

  @Test
  void followerReadsOnlyMissingChanges() throws Exception {
    put("a", 0, "one");
    Head head = store.head();
    for (int i = 0; i < 70; i++) {
      put("b" + i, 0, "x");
    }
    List<RecordChange> missing = store.changesBetween(head, store.head());
    assertEquals(70, missing.size());
    assertEquals("b0", missing.get(0).name());
    assertEquals(71, missing.get(69).version().sequence());
    assertEquals(71, store.readAll().snapshot().records().size());
  }

  @Test
  void changesAreUnavailableOnceLogIsOverwritten() throws Exception {
    put("a", 0, "one");
    Head head = store.head();
    long sequence = 1;
    for (int i = 0; i < ChangeStore.LOG_SLOTS; i++) {
      sequence = put("a", sequence, "x" + i).sequence();
    }
    assertNull(store.changesBetween(head, store.head()));
  }

  @Test
  void detectsEngineRestoredFromOlderData() throws Exception {
    put("a", 0, "one");
    var backup = engine.copy();
    put("a", 1, "two");
    put("a", 2, "three");
    Head seen = store.head();
    engine.restore(backup);
    assertThrows(EngineSteppedBack.class, () -> store.changesBetween(seen, store.head()));
    assertThrows(EngineSteppedBack.class, () -> store.write("a", 1, "again", seen.version()));
  }

  /**
   * After the restore the sequence reaches and then passes the versions that were served before, so
   * only the chain of change ids reveals the different history.
   */
  @Test
  void detectsRestoredEngineThatAcceptedNewChanges() throws Exception {
    put("a", 0, "one");
    var backup = engine.copy();
    put("a", 1, "two");
    Head seen = store.head();
    engine.restore(backup);
    put("b", 0, "other");
    assertEquals(seen.version(), store.head().version());
    assertThrows(EngineSteppedBack.class, () -> store.changesBetween(seen, store.head()));
    put("b", 2, "more");
    put("b", 3, "still more");
    assertThrows(EngineSteppedBack.class, () -> store.changesBetween(seen, store.head()));
  }

  @Test
  void newIncarnationIsNewerThanEveryServedVersion() throws Exception {
    put("a", 0, "one");
    var backup = engine.copy();
    put("a", 1, "two");
    Head seen = store.head();
    engine.restore(backup);
    Version newIncarnation = store.beginIncarnation();
    assertTrue(seen.version().isBefore(newIncarnation));
    assertNull(
        store.changesBetween(seen, store.head()),
        "a new incarnation requires a read of all records");
    RecordChange record = store.readAll().snapshot().records().get(0);
    assertEquals("one", record.document());
    assertTrue(
        seen.version().isBefore(record.version()),
        "the restored record replaces states with a higher sequence");
    assertEquals(2, put("a", 1, "next").sequence());
  }

  @Test
  void rejectsDocumentAboveMaximumLength() {
    assertThrows(
        DistributionException.RecordTooLarge.class,
        () -> put("a", 0, "x".repeat(ChangeStore.MAX_DOCUMENT_CHARACTERS + 1)));
  }

  /** Every kind of error is listed on the page with its code, which derives from the class name. */
  @Test
  void operatorsPageListsEveryErrorCode() throws Exception {
    String page = Files.readString(Path.of("../docs/operators/distribution.md"));
    List<Class<?>> kinds = List.of(DistributionException.class.getPermittedSubclasses());
    assertEquals(9, kinds.size());
    for (Class<?> kind : kinds) {
      String code =
          kind.getSimpleName().replaceAll("(?<=.)([A-Z])", "-$1").toLowerCase(Locale.ROOT);
      assertTrue(page.contains("| `" + code + "` |"), code);
    }
  }
}

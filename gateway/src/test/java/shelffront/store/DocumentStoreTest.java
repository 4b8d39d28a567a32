package shelffront.store;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import shelffront.store.DocumentStore.ConflictException;
import shelffront.store.DocumentStore.Kind;

class DocumentStoreTest {

  private static final int KILLS = 50;

  @TempDir private Path folder;

  private static JsonNode document(int n) {
    return new ObjectMapper().createObjectNode().put("n", n).put("filler", "x".repeat(500));
  }

  /**
   * Process that changes two documents alternately until it is killed. Prints the revision of each
   * change that the store acknowledged.
   */
  public static final class Writer {

    private Writer() {}

    public static void main(String[] arguments) throws Exception {
      try (DocumentStore store = DocumentStore.open(Path.of(arguments[0]))) {
        for (int n = (int) store.revision() + 1; ; n++) {
          String name = "t" + n % 2;
          DocumentStore.Entry before = store.get(Kind.TENANT, name);
          long revision =
              store.put(
                  Kind.TENANT,
                  name,
                  before == null ? 0 : before.revision(),
                  document(n),
                  "writer",
                  "change",
                  n);
          System.out.println(revision);
        }
      }
    }
  }

  @Test
  void acknowledgedChangesSurviveAKillAtAnyMoment() throws Exception {
    Path file = folder.resolve("store");
    Random random = new Random(7);
    long acknowledged = 0;
    for (int kill = 0; kill < KILLS; kill++) {
      Process writer =
          new ProcessBuilder(
                  Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                  "-XX:TieredStopAtLevel=1",
                  "-cp",
                  System.getProperty("java.class.path"),
                  Writer.class.getName(),
                  file.toString())
              .redirectError(ProcessBuilder.Redirect.INHERIT)
              .start();
      try (BufferedReader out = writer.inputReader()) {
        // The kill follows 1 to 20 acknowledged changes and hits the next ones at any point.
        for (int left = 1 + random.nextInt(20); left > 0; left--) {
          acknowledged = Long.parseLong(out.readLine());
        }
        int spins = random.nextInt(200_000);
        while (spins-- > 0) {
          Thread.onSpinWait();
        }
        writer.toHandle().destroyForcibly(); // SIGKILL; the output written before stays readable
        for (String line = out.readLine(); line != null && !line.isEmpty(); line = out.readLine()) {
          acknowledged = Math.max(acknowledged, Long.parseLong(line));
        }
      }
      assertTrue(writer.waitFor(30, TimeUnit.SECONDS));
      try (DocumentStore store = DocumentStore.open(file)) {
        long last = store.revision();
        assertTrue(
            last >= acknowledged,
            "acknowledged up to revision " + acknowledged + ", stored up to " + last);
        for (int back = 0; back < Math.min(2, last); back++) {
          DocumentStore.Entry entry = store.get(Kind.TENANT, "t" + (last - back) % 2);
          assertEquals(last - back, entry.revision());
          assertEquals(
              document((int) (last - back)), entry.document(), "no change may be partially stored");
        }
        assertEquals(
            last, store.auditEntries(0, 100_000).size(), "each change must have one audit entry");
      }
    }
  }

  @Test
  void changeForAnotherRevisionIsRejectedWithThePresentDocument() throws Exception {
    try (DocumentStore store = DocumentStore.inMemory()) {
      long first = store.put(Kind.TENANT, "a", 0, document(1), "x", "create", 5);
      assertEquals(1, first);
      ConflictException conflict =
          assertThrows(
              ConflictException.class,
              () -> store.put(Kind.TENANT, "a", 0, document(2), "y", "create", 6));
      assertEquals(document(1), conflict.currentEntry().document());
      assertEquals(2, store.put(Kind.TENANT, "a", 1, null, "x", "remove", 7));
      assertNull(store.get(Kind.TENANT, "a"));
      assertThrows(
          ConflictException.class,
          () -> store.put(Kind.TENANT, "a", 1, document(3), "y", "change", 8));
      assertEquals(
          List.of("create", "remove"),
          store.auditEntries(0, 10).stream().map(DocumentStore.AuditEntry::action).toList());
      assertEquals(1, store.auditEntries(1, 10).get(0).previousRevision());
    }
  }

  @Test
  void fileThatIsNotAStoreIsRejectedUnmodified() throws Exception {
    Path file = folder.resolve("other");
    byte[] text = "this is no store\n".repeat(1000).getBytes();
    Files.write(file, text);
    IOException rejection = assertThrows(IOException.class, () -> DocumentStore.open(file));
    assertTrue(rejection.getMessage().startsWith(file.toString()), rejection.getMessage());
    assertArrayEquals(text, Files.readAllBytes(file));
  }

  /**
   * A store truncated at any length opens at an earlier committed change or is rejected unmodified.
   * It never returns a partial change.
   */
  @Test
  void truncatedFileOpensAtACommittedChangeOrIsRejectedUnmodified() throws Exception {
    Path file = folder.resolve("whole");
    try (DocumentStore store = DocumentStore.open(file)) {
      for (int n = 1; n <= 30; n++) {
        store.put(Kind.TENANT, "t" + n % 2, n <= 2 ? 0 : n - 2, document(n), "x", "change", n);
      }
    }
    byte[] whole = Files.readAllBytes(file);
    int opened = 0;
    for (int length = 1; length < whole.length; length += 997) {
      Path cut = folder.resolve("cut" + length);
      byte[] part = Arrays.copyOf(whole, length);
      Files.write(cut, part);
      try (DocumentStore store = DocumentStore.open(cut)) {
        opened++;
        long last = store.revision();
        if (last > 0) {
          assertEquals(document((int) last), store.get(Kind.TENANT, "t" + last % 2).document());
        }
      } catch (IOException e) {
        assertArrayEquals(part, Files.readAllBytes(cut), "rejected file was modified");
      }
    }
    assertTrue(opened > 0, "no truncated file opened");
  }

  @Test
  void importReplacesDocumentsOfTheSameNameAndAddsTheOthers() throws Exception {
    try (DocumentStore one = DocumentStore.inMemory();
        DocumentStore two = DocumentStore.inMemory()) {
      one.put(Kind.TENANT, "a", 0, document(1), "x", "create", 5);
      one.put(Kind.TOKEN, "b", 0, document(2), "x", "create", 5);
      two.put(Kind.TENANT, "a", 0, document(9), "x", "create", 5);
      assertEquals(2, two.importAll(one.export(), "y", 6));
      assertEquals(document(1), two.get(Kind.TENANT, "a").document());
      assertEquals(document(2), two.get(Kind.TOKEN, "b").document());
      assertThrows(IOException.class, () -> two.importAll(document(1), "y", 6));
    }
  }
}

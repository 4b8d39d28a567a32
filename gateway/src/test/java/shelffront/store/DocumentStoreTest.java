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
   * The other process: changes two documents in turn until it is killed, and says which changes
   * were answered.
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
  void everyAnsweredChangeOutlivesAKillAtAnyMoment() throws Exception {
    Path file = folder.resolve("store");
    Random random = new Random(7);
    long answered = 0;
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
        // Some lines, then the kill falls anywhere in the work on the next ones.
        for (int left = 1 + random.nextInt(20); left > 0; left--) {
          answered = Long.parseLong(out.readLine());
        }
        int spins = random.nextInt(200_000);
        while (spins-- > 0) {
          Thread.onSpinWait();
        }
        writer.toHandle().destroyForcibly(); // SIGKILL; leaves what it wrote to be read
        for (String line = out.readLine(); line != null && !line.isEmpty(); line = out.readLine()) {
          answered = Math.max(answered, Long.parseLong(line));
        }
      }
      assertTrue(writer.waitFor(30, TimeUnit.SECONDS));
      try (DocumentStore store = DocumentStore.open(file)) {
        long last = store.revision();
        assertTrue(last >= answered, "answered up to " + answered + ", kept up to " + last);
        for (int back = 0; back < Math.min(2, last); back++) {
          DocumentStore.Entry entry = store.get(Kind.TENANT, "t" + (last - back) % 2);
          assertEquals(last - back, entry.revision());
          assertEquals(document((int) (last - back)), entry.document(), "no half change");
        }
        assertEquals(last, store.auditEntries(0, 100_000).size(), "an entry for each change");
      }
    }
  }

  @Test
  void aChangeForAnotherRevisionIsRefusedWithThePresentState() throws Exception {
    try (DocumentStore store = DocumentStore.inMemory()) {
      long first = store.put(Kind.TENANT, "a", 0, document(1), "x", "create", 5);
      assertEquals(1, first);
      ConflictException late =
          assertThrows(
              ConflictException.class,
              () -> store.put(Kind.TENANT, "a", 0, document(2), "y", "create", 6));
      assertEquals(document(1), late.present().document());
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
  void whatIsNoStoreIsRefusedAndLeftAsItIs() throws Exception {
    Path file = folder.resolve("other");
    byte[] text = "this is no store\n".repeat(1000).getBytes();
    Files.write(file, text);
    IOException refused = assertThrows(IOException.class, () -> DocumentStore.open(file));
    assertTrue(refused.getMessage().startsWith(file.toString()), refused.getMessage());
    assertArrayEquals(text, Files.readAllBytes(file));
  }

  /**
   * A file cut anywhere opens at some change answered before, whole, or is refused; it never shows
   * half a change.
   */
  @Test
  void aFileCutAtAnyLengthOpensAtAWholeChangeOrIsLeftUntouched() throws Exception {
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
        assertArrayEquals(part, Files.readAllBytes(cut), "refused, yet written to");
      }
    }
    assertTrue(opened > 0, "none opened");
  }

  @Test
  void anExportIsTakenInWhole() throws Exception {
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

package shelffront.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.TreeSet;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Limits the size of the decision module's source files, and checks that the deploy file lists
 * exactly these files.
 */
class DecisionModuleSourceTest {

  private static final Path REPOSITORY = Path.of("..");
  private static final Path MODULE = Path.of("src/main/java/shelffront/decision");
  private static final int MAX_LINE_CHARACTERS = 100;
  private static final int MAX_FILE_LINES = 250;

  @Test
  void keepsEveryFileShort() throws IOException {
    for (Path file : sources()) {
      List<String> lines = Files.readAllLines(file);
      long nonBlankLines = lines.stream().filter(line -> !line.isBlank()).count();
      assertTrue(
          nonBlankLines > 0 && nonBlankLines <= MAX_FILE_LINES,
          file + " has " + nonBlankLines + " non-blank lines, expected 1 to " + MAX_FILE_LINES);
      for (int i = 0; i < lines.size(); i++) {
        int length = lines.get(i).length();
        assertTrue(
            length <= MAX_LINE_CHARACTERS,
            file
                + ": line "
                + (i + 1)
                + " has "
                + length
                + " characters, expected at most "
                + MAX_LINE_CHARACTERS);
      }
    }
  }

  @Test
  void deployFileNamesExactlyTheSourcesOfTheModule() throws IOException {
    String deployFile = Files.readString(REPOSITORY.resolve("deploy/balancer.toml"));
    String policy =
        deployFile.lines().filter(line -> line.startsWith("policy = ")).findFirst().orElseThrow();
    TreeSet<String> named = new TreeSet<>();
    Pattern.compile("\"([^\"]+)\"")
        .matcher(policy)
        .results()
        .forEach(match -> named.add(match.group(1)));
    TreeSet<String> present = new TreeSet<>();
    sources().forEach(file -> present.add("core/" + file.toString().replace('\\', '/')));
    assertFalse(present.isEmpty());
    assertEquals(present, named);
  }

  private static List<Path> sources() throws IOException {
    try (Stream<Path> files = Files.list(MODULE)) {
      return files.filter(file -> file.toString().endsWith(".java")).sorted().toList();
    }
  }
}

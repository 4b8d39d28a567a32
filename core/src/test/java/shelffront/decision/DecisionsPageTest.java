package shelffront.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks that the methods and tests named in docs/DECISIONS.md exist. */
class DecisionsPageTest {

  private static final Path PAGE = Path.of("../docs/DECISIONS.md");
  private static final Pattern METHOD = Pattern.compile("`([A-Z]\\w+)?#(\\w+)`");

  @Test
  void namesOnlyMethodsThatExist() throws IOException {
    Map<String, String> sources = sourcesByClass();
    List<String> missing = new ArrayList<>();
    int named = 0;
    for (String line : Files.readAllLines(PAGE)) {
      String className = "";
      Matcher matcher = METHOD.matcher(line);
      while (matcher.find()) {
        className = matcher.group(1) == null ? className : matcher.group(1);
        named++;
        if (!sources.getOrDefault(className, "").contains(" " + matcher.group(2) + "(")) {
          missing.add(className + "#" + matcher.group(2));
        }
      }
    }
    assertEquals(List.of(), missing);
    assertFalse(named == 0, "docs/DECISIONS.md names no method");
  }

  private static Map<String, String> sourcesByClass() throws IOException {
    Map<String, String> sources = new HashMap<>();
    try (Stream<Path> files = Files.walk(Path.of("src"))) {
      for (Path file : files.filter(path -> path.toString().endsWith(".java")).toList()) {
        String className = file.getFileName().toString().replace(".java", "");
        sources.put(className, Files.readString(file));
      }
    }
    return sources;
  }
}

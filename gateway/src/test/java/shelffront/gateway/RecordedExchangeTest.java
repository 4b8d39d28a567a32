package shelffront.gateway;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.Test;
import org.junit.runner.RunWith;
import org.junit.runners.Parameterized;
import org.junit.runners.Parameterized.Parameters;

/** Runs every recorded exchange of src/test/resources/plays and compares it byte for byte. */
@RunWith(Parameterized.class)
public class RecordedExchangeTest {

  private final Path exchange;

  public RecordedExchangeTest(String name, Path exchange) {
    this.exchange = exchange;
  }

  @Parameters(name = "{0}")
  public static List<Object[]> exchanges() throws IOException {
    try (Stream<Path> files = Files.list(RecordedExchangeRunner.EXCHANGES)) {
      return files
          .filter(f -> f.toString().endsWith(".play"))
          .sorted()
          .map(f -> new Object[] {f.getFileName().toString(), f})
          .toList();
    }
  }

  @Test
  public void matchesRecording() throws Exception {
    try (RecordedExchangeRunner runner = new RecordedExchangeRunner()) {
      runner.replay(exchange);
    }
  }
}

package shelffront.simulator;

import static java.nio.charset.StandardCharsets.UTF_8;
import static java.util.stream.Collectors.joining;
import static org.junit.Assert.assertEquals;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.Test;

/**
 * Replays recorded batches of the line protocol. Lines marked {@code >} are the adapter's input,
 * lines marked {@code <} its expected output.
 */
public class SimulatorExchangeTest {

  private static void play(String name) throws Exception {
    List<String> lines = Files.readAllLines(Path.of("src/test/resources/wires", name));
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    new SimulatorAdapter(new ByteArrayInputStream(marked(lines, "> ").getBytes(UTF_8)), out).run();
    assertEquals(marked(lines, "< "), out.toString(UTF_8));
  }

  private static String marked(List<String> lines, String mark) {
    return lines.stream()
        .filter(line -> line.startsWith(mark))
        .map(line -> line.substring(mark.length()) + "\n")
        .collect(joining());
  }

  @Test
  public void replicaWithLateLoadReportsKeepsServingBoundedReads() throws Exception {
    play("late-reports.wire");
  }
}

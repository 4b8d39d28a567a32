package review.common;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** What every test has: its folders, its record and what it has to end. */
public final class Test implements AutoCloseable {

  /** The body of a test; returns the sentences that say how the rule was broken. */
  public interface Body {
    List<String> run(Test test) throws Exception;
  }

  private static final int MAX_SECONDS = 110;

  public final Path root;
  public final Path folder;
  public final Record record;

  /** Whether the disruption takes place. */
  public final boolean trouble;

  private final List<AutoCloseable> toClose = new ArrayList<>();

  private Test(Path root, Path recordFile, boolean trouble) throws IOException {
    this.root = root;
    this.trouble = trouble;
    folder = Files.createTempDirectory("review");
    record = new Record(recordFile);
  }

  public <T extends AutoCloseable> T ends(T started) {
    synchronized (toClose) {
      toClose.add(started);
    }
    return started;
  }

  /**
   * Runs a test with the arguments of its run.sh: the repository's root, the file to write the record
   * to, and 0 for no disruption. Exit code 1 if the rule was broken, 0 if it held, 2 if the case
   * could not run.
   */
  public static void main(String[] args, Body body) {
    int code = 2;
    endAfter(MAX_SECONDS);
    try (Test test = new Test(Path.of(args[0]), Path.of(args[1]), !args[2].equals("0"))) {
      test.record.line("disruption: %s", test.trouble ? "yes" : "no");
      List<String> breaks = body.run(test);
      breaks.forEach(each -> test.record.line("BROKEN: %s", each));
      breaks.forEach(System.out::println);
      code = breaks.isEmpty() ? 0 : 1;
      test.record.line("result: %s", code == 0 ? "the rule held" : "the rule was broken");
      System.out.println(code == 0 ? "the rule held" : "the rule was broken");
    } catch (Exception failure) {
      failure.printStackTrace();
      code = 2;
    }
    System.exit(code);
  }

  /** Ends the process, and with it the gateways, as a case that could not run. */
  private static void endAfter(int seconds) {
    Thread thread =
        new Thread(
            () -> {
              try {
                Thread.sleep(seconds * 1000L);
                System.err.println("not done after " + seconds + " s");
                System.exit(2);
              } catch (InterruptedException ended) {
                Thread.currentThread().interrupt();
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void close() throws Exception {
    List<AutoCloseable> reversed = new ArrayList<>(toClose);
    java.util.Collections.reverse(reversed);
    for (AutoCloseable each : reversed) {
      try {
        each.close();
      } catch (IOException ended) {
        // already closed
      }
    }
    record.close();
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    }
  }
}

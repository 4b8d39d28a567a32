package review2;

import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Stream;

/**
 * The frame of one case: its record, its temporary folder, the parties that it started and its
 * verdict. Exit code 1 means that the rule was broken, 0 that it held, 2 that the case could not run.
 */
final class Play implements AutoCloseable {

  /** What a case does; it returns a description of the broken rule, or null if the rule held. */
  interface Script {
    String run(Play play) throws Exception;
  }

  /** Thrown if a precondition of the case does not hold, so that it decides nothing. */
  static final class CannotRun extends Exception {
    private static final long serialVersionUID = 1L;

    CannotRun(String why) {
      super(why);
    }
  }

  private static final long MAX_SECONDS = 110;
  private static final int FIRST_PORT = 18_000;
  private static final int LAST_PORT = 30_000;

  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  final Path root = Path.of(System.getProperty("review2.root")).toAbsolutePath();
  final Path folder;
  private final long startNanos = System.nanoTime();
  private final BufferedWriter record;
  private final List<AutoCloseable> parties = new ArrayList<>();

  private Play() throws IOException {
    folder = Files.createTempDirectory("review2-");
    record = Files.newBufferedWriter(Path.of(System.getProperty("review2.record")));
  }

  /** Runs a case and ends the process with its exit code. */
  static void main(Script script) {
    int code = 2;
    try (Play play = new Play()) {
      Thread guard =
          new Thread(
              () -> {
                sleep(MAX_SECONDS * 1000);
                play.note("case", "stopped after " + MAX_SECONDS + " s, nothing is decided");
                play.end();
                Runtime.getRuntime().halt(2);
              });
      guard.setDaemon(true);
      guard.start();
      Runtime.getRuntime().addShutdownHook(new Thread(play::end));
      try {
        play.note("case", "TROUBLE=" + (play.trouble ? 1 : 0));
        String broken = script.run(play);
        play.note("case", broken == null ? "the rule held" : "the rule is broken: " + broken);
        code = broken == null ? 0 : 1;
      } catch (CannotRun e) {
        play.note("case", "could not run: " + e.getMessage());
      } catch (Exception e) {
        play.note("case", "could not run: " + e);
        e.printStackTrace();
      }
    } catch (IOException e) {
      e.printStackTrace();
    }
    System.out.flush();
    Runtime.getRuntime().halt(code);
  }

  /** Registers a party that is closed at the end of the case, the last one first. */
  <T extends AutoCloseable> T add(T party) {
    synchronized (parties) {
      parties.add(party);
    }
    return party;
  }

  /** Milliseconds since the start of the case. */
  double now() {
    return (System.nanoTime() - startNanos) / 1e6;
  }

  /** Writes a line to record.txt and to the standard output. */
  void note(String who, String what) {
    String line = String.format("%9.1f ms  %-10s %s", now(), who, what);
    synchronized (record) {
      System.out.println(line);
      try {
        record.write(line + "\n");
        record.flush();
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
  }

  static void sleep(double millis) {
    try {
      Thread.sleep(Math.max(0, Math.round(millis)));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Sleeps until a time of {@link #now}. */
  void sleepUntil(double atMillis) {
    sleep(atMillis - now());
  }

  static InetAddress loopback() throws IOException {
    return InetAddress.getByName("127.0.0.1");
  }

  /** A free port below those that systems give to outgoing connections. */
  static int freePort() throws IOException {
    for (int attempt = 0; attempt < 1000; attempt++) {
      int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
      try (ServerSocket socket = new ServerSocket(port, 1, loopback())) {
        return socket.getLocalPort();
      } catch (BindException e) {
        continue;
      }
    }
    throw new IOException("no free port from " + FIRST_PORT + " to " + LAST_PORT);
  }

  @Override
  public void close() {
    end();
  }

  /** Ends all parties and deletes the temporary folder; has no effect if called again. */
  private void end() {
    List<AutoCloseable> all;
    synchronized (parties) {
      all = new ArrayList<>(parties);
      parties.clear();
    }
    for (int i = all.size() - 1; i >= 0; i--) {
      try {
        all.get(i).close();
      } catch (Exception e) {
        System.out.println("closing failed: " + e);
      }
    }
    if (!Files.exists(folder)) {
      return;
    }
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted((one, other) -> other.compareTo(one)).forEach(file -> file.toFile().delete());
    } catch (IOException e) {
      System.out.println("the temporary folder remains: " + e);
    }
  }
}

package shelffront.lab.faultinjection;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A program of this build as a process of its own: signals go to it alone, and what it uses is read
 * from the system.
 */
public final class JavaProcess {

  private static final int TICKS_PER_SECOND =
      100; // Linux's USER_HZ, in which /proc tells processor time
  private static final long KB = 1024;

  private final Process process;
  private final Path log;

  private JavaProcess(Process process, Path log) {
    this.process = process;
    this.log = log;
  }

  /** Starts a class's main with so much heap; what it prints goes to the log. */
  public static JavaProcess start(Class<?> main, int heapMb, Path log, String... arguments)
      throws IOException {
    List<String> command =
        new ArrayList<>(
            List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xmx" + heapMb + "m",
                "-cp",
                System.getProperty("java.class.path"),
                main.getName()));
    command.addAll(List.of(arguments));
    return new JavaProcess(
        new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log.toFile()).start(),
        log);
  }

  public boolean isUp() {
    return process.isAlive();
  }

  /** What it has printed. */
  public String printed() {
    try {
      return Files.exists(log) ? Files.readString(log, UTF_8) : "";
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** The first group of a pattern in what it has printed; null where it has not printed that. */
  public String found(Pattern pattern) {
    Matcher matcher = pattern.matcher(printed());
    return matcher.find() ? matcher.group(1) : null;
  }

  public void signal(String name) {
    try {
      new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Ends it at once, stopped or not. */
  public void kill() throws InterruptedException {
    process.destroyForcibly().waitFor();
  }

  /** Ends it at once, without waiting for that. */
  public void abandon() {
    process.destroyForcibly();
  }

  /** Asks it to end, and waits until it has; false where it does not within the seconds. */
  public boolean terminate(long seconds) throws InterruptedException {
    process.destroy();
    return process.waitFor(seconds, TimeUnit.SECONDS);
  }

  /** Processor seconds that it has used. */
  public double cpuSeconds() {
    String[] fields = proc("stat").replaceAll("^.*\\) ", "").split(" ");
    return fields.length < 13
        ? 0
        : (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) / (double) TICKS_PER_SECOND;
  }

  /** Bytes of memory that it has resident. */
  public long residentBytes() {
    return number("status", "VmRSS:\\s+([0-9]+)") * KB;
  }

  /** Bytes that it has read and written, from and to sockets and files. */
  public long ioBytes() {
    return number("io", "rchar: ([0-9]+)") + number("io", "wchar: ([0-9]+)");
  }

  private long number(String file, String pattern) {
    Matcher matcher = Pattern.compile(pattern).matcher(proc(file));
    return matcher.find() ? Long.parseLong(matcher.group(1)) : 0;
  }

  /** Empty where it has ended. */
  private String proc(String file) {
    try {
      return Files.readString(Path.of("/proc", Long.toString(process.pid()), file));
    } catch (IOException e) {
      return "";
    }
  }
}

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
 * Runs a main class of this build as a child process. Signals go to this process only; its resource
 * usage is read from {@code /proc}.
 */
public final class JavaProcess {

  private static final int TICKS_PER_SECOND = 100; // Linux USER_HZ, the unit of CPU time in /proc
  private static final long BYTES_PER_KB = 1024;

  private final Process process;
  private final Path log;

  private JavaProcess(Process process, Path log) {
    this.process = process;
    this.log = log;
  }

  /** Starts a main class with this heap limit; standard output and error go to the log file. */
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

  /** Returns the output so far; empty if there is no log file. */
  public String printed() {
    try {
      return Files.exists(log) ? Files.readString(log, UTF_8) : "";
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the first group of the first match in the output, or null without a match. */
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

  /** Kills the process, even if it is suspended, and waits for its exit. */
  public void kill() throws InterruptedException {
    process.destroyForcibly().waitFor();
  }

  /** Kills the process without waiting for its exit. */
  public void abandon() {
    process.destroyForcibly();
  }

  /** Requests termination; returns false if the process does not exit within the timeout. */
  public boolean terminate(long timeoutSeconds) throws InterruptedException {
    process.destroy();
    return process.waitFor(timeoutSeconds, TimeUnit.SECONDS);
  }

  /** CPU time used, in seconds; 0 after the exit of the process. */
  public double cpuSeconds() {
    String[] fields = readProc("stat").replaceAll("^.*\\) ", "").split(" ");
    return fields.length < 13
        ? 0
        : (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) / (double) TICKS_PER_SECOND;
  }

  /** Resident memory in bytes; 0 after the exit of the process. */
  public long residentBytes() {
    return readNumber("status", "VmRSS:\\s+([0-9]+)") * BYTES_PER_KB;
  }

  /** Bytes read from and written to sockets and files; 0 after the exit of the process. */
  public long ioBytes() {
    return readNumber("io", "rchar: ([0-9]+)") + readNumber("io", "wchar: ([0-9]+)");
  }

  private long readNumber(String file, String pattern) {
    Matcher matcher = Pattern.compile(pattern).matcher(readProc(file));
    return matcher.find() ? Long.parseLong(matcher.group(1)) : 0;
  }

  /** Returns the content of the file, or an empty text after the exit of the process. */
  private String readProc(String file) {
    try {
      return Files.readString(Path.of("/proc", Long.toString(process.pid()), file));
    } catch (IOException e) {
      return "";
    }
  }
}

package review2;

import java.io.DataInputStream;
import java.io.File;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One gateway, started by the line {@code run} of the deploy file as the platform starts it. */
final class Gateway implements AutoCloseable, Target {

  private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");

  private final Play play;
  private final String name;
  private final Path config;
  private final int port;
  private Process process;

  Gateway(Play play, String name) throws IOException {
    this.play = play;
    this.name = name;
    config = play.folder.resolve(name + ".json");
    port = Play.freePort();
  }

  @Override
  public int port() {
    return port;
  }

  /** Writes the configuration; the platform replaces the file as a whole. */
  void configure(String discovery, String known, String settings) throws IOException {
    String text = "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port
        + "\",\"discovery\":\"" + discovery + "\",\"seed\":\"8c1f30d27a5be964\",\n"
        + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\n\"known\":" + known
        + ",\n\"settings\":" + settings + "}\n";
    Path next = play.folder.resolve(name + ".next");
    Files.writeString(next, text);
    Files.move(next, config, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
  }

  void start(String discovery) throws IOException {
    Matcher run = RUN.matcher(Files.readString(play.root.resolve("deploy/balancer.toml")));
    if (!run.find()) {
      throw new IOException("deploy/balancer.toml has no line run");
    }
    Path temporary = Files.createDirectories(play.folder.resolve(name + ".tmp"));
    File log = play.folder.resolve(name + ".log").toFile();
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1));
    builder.directory(play.root.toFile());
    builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
    builder.environment().put("BALANCER_NAME", name);
    builder.environment().put("BALANCER_LISTEN", "127.0.0.1:" + port);
    builder.environment().put("BALANCER_DISCOVERY", discovery);
    builder.environment().put("BALANCER_CONFIG", config.toString());
    builder.environment().put("TMPDIR", temporary.toString());
    process = builder.start();
    play.note(name, "started, process " + process.pid());
  }

  /** Waits until an empty query is answered with EmptyQueryResponse, as the front does. */
  void awaitReady() throws Play.CannotRun {
    double until = play.now() + 30_000;
    while (play.now() < until && process.isAlive()) {
      if (isReady()) {
        play.note(name, "takes clients");
        return;
      }
      Play.sleep(50);
    }
    throw new Play.CannotRun(name + " does not take clients: " + state());
  }

  private boolean isReady() {
    try (Socket socket = new Socket(Play.loopback(), port)) {
      socket.setSoTimeout(1000);
      socket.getOutputStream().write(Host.join(Pg.startup("ledger"), Pg.query("")));
      DataInputStream in = new DataInputStream(socket.getInputStream());
      for (Pg.Message message = Pg.read(in); message != null; message = Pg.read(in)) {
        if (message.type() == 'I') {
          return true;
        }
      }
      return false;
    } catch (IOException e) {
      return false;
    }
  }

  /** Sends a signal, by name, to the process that the line run started. */
  void signal(String signal) throws IOException {
    play.note(name, "is sent SIG" + signal);
    try {
      new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid())
          .inheritIO()
          .start()
          .waitFor();
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }

  boolean isAlive() {
    return process.isAlive();
  }

  String state() {
    return process.isAlive() ? "is running" : "has exited with code " + process.exitValue();
  }

  /** The lines of the gateway's log that contain a text. */
  String logLines(String text) throws IOException {
    Path log = play.folder.resolve(name + ".log");
    StringBuilder found = new StringBuilder();
    for (String line : Files.readString(log, StandardCharsets.ISO_8859_1).split("\n")) {
      if (line.contains(text)) {
        found.append(line).append('\n');
      }
    }
    return found.toString();
  }

  @Override
  public void close() {
    if (process == null) {
      return;
    }
    process.destroyForcibly();
    try {
      process.waitFor(10, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}

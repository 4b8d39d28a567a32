package review2;

import java.io.File;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A gateway of many tenants, started by the deploy file's line {@code run} with {@code --config}. */
final class Hosted implements AutoCloseable, Target {

  private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
  private static final Pattern TOKEN = Pattern.compile("first operator token, shown once: (\\S+)");

  private final Play play;
  private final Path log;
  private final int port = Play.freePort();
  private final int adminPort = Play.freePort();
  private final HttpClient http =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(5))
          .build();
  private Process process;
  private String token;

  Hosted(Play play) throws IOException {
    this.play = play;
    log = play.folder.resolve("hosted.log");
  }

  @Override
  public int port() {
    return port;
  }

  /** Starts the gateway with these tenants, a list of JSON documents. */
  void start(String tenants) throws IOException, Play.CannotRun {
    Path config = play.folder.resolve("hosted.json");
    Files.writeString(
        config,
        "{\"listen\":\"127.0.0.1:" + port + "\",\"admin\":\"127.0.0.1:" + adminPort
            + "\",\"tenants\":[" + tenants + "]}");
    Matcher run = RUN.matcher(Files.readString(play.root.resolve("deploy/balancer.toml")));
    if (!run.find()) {
      throw new IOException("deploy/balancer.toml has no line run");
    }
    ProcessBuilder builder =
        new ProcessBuilder("/bin/sh", "-c", run.group(1) + " --config " + config);
    builder.directory(play.root.toFile());
    File file = log.toFile();
    builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(file));
    builder.environment().put("TMPDIR", play.folder.toString());
    process = builder.start();
    play.note("gateway", "started, process " + process.pid());
    double until = play.now() + 30_000;
    while (play.now() < until && process.isAlive()) {
      Matcher found = TOKEN.matcher(Files.exists(log) ? Files.readString(log) : "");
      if (found.find() && Files.readString(log).contains("listens on ")) {
        token = found.group(1);
        Play.sleep(300);
        play.note("gateway", "listens");
        return;
      }
      Play.sleep(50);
    }
    throw new Play.CannotRun("the gateway does not listen: " + Files.readString(log));
  }

  /** An answer of the administration. */
  record Answer(int status, String tag, String body) {}

  /** Replaces a tenant as the operator; its present revision is read first. */
  void put(String id, String document) throws IOException, Play.CannotRun {
    String tag = call(token, "GET", "tenants/" + id, null, null).tag();
    require(200, call(token, "PUT", "tenants/" + id, tag, document));
  }

  /** Creates a tenant as the operator. */
  void create(String document) throws IOException, Play.CannotRun {
    require(201, call(token, "POST", "tenants", null, document));
  }

  /** Removes a tenant as the operator. */
  void remove(String id) throws IOException, Play.CannotRun {
    String tag = call(token, "GET", "tenants/" + id, null, null).tag();
    require(202, call(token, "DELETE", "tenants/" + id, tag, null));
  }

  /** Creates a token for the administrator of a tenant, as the operator. */
  String createToken(String tenant) throws IOException, Play.CannotRun {
    Answer answer = call(token, "POST", "tokens", null, "{\"tenant\":\"" + tenant + "\"}");
    require(201, answer);
    return answer.body().replaceAll("(?s).*\"token\":\"([^\"]+)\".*", "$1");
  }

  private void require(int status, Answer answer) throws Play.CannotRun {
    if (answer.status() != status) {
      throw new Play.CannotRun("the administration answered " + answer.status());
    }
  }

  /** A call of the administration with a token. */
  Answer call(String caller, String method, String path, String tag, String document)
      throws IOException {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + adminPort + "/v1/" + path))
            .timeout(Duration.ofSeconds(10))
            .header("Authorization", "Bearer " + caller)
            .method(
                method,
                document == null
                    ? HttpRequest.BodyPublishers.noBody()
                    : HttpRequest.BodyPublishers.ofString(document));
    if (tag != null) {
      request.header("If-Match", tag);
    }
    try {
      HttpResponse<String> response =
          http.send(request.build(), HttpResponse.BodyHandlers.ofString());
      play.note(caller.equals(token) ? "operator" : "admin",
          method + " /v1/" + path + (tag == null ? "" : " at " + tag)
              + (document == null ? "" : " " + document) + ": status " + response.statusCode());
      return new Answer(
          response.statusCode(), response.headers().firstValue("ETag").orElse(""),
          response.body());
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }

  String log() throws IOException {
    return Files.readString(log);
  }

  boolean isAlive() {
    return process.isAlive();
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
